package frostrelay.node.admin;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import java.nio.charset.StandardCharsets;

/**
 * What a caller is told: a status and one word or line in JSON, or in its place a whole body.
 * {@code allowedMethod}: the method of the path, or null.
 */
record AdminResponse(
        HttpResponseStatus status,
        String text,
        HttpMethod allowedMethod,
        byte[] body,
        CharSequence contentType) {
    AdminResponse(HttpResponseStatus status, String text, HttpMethod allowedMethod) {
        this(status, text, allowedMethod, null, HttpHeaderValues.APPLICATION_JSON);
    }

    static AdminResponse of(HttpResponseStatus status, String text) {
        return new AdminResponse(status, text, null);
    }

    static AdminResponse of(byte[] body, CharSequence contentType) {
        return new AdminResponse(HttpResponseStatus.OK, null, null, body, contentType);
    }

    /** None of the texts holds what JSON would have to escape. */
    FullHttpResponse toHttpResponse() {
        String fieldName =
                status.code() < HttpResponseStatus.BAD_REQUEST.code() ? "status" : "error";
        byte[] bodyBytes =
                body != null
                        ? body
                        : ("{\"" + fieldName + "\":\"" + text + "\"}\n")
                                .getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bodyBytes));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (allowedMethod != null) {
            response.headers().set(HttpHeaderNames.ALLOW, allowedMethod);
        }
        return response;
    }
}
