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
 * The response to an administrator's call.
 *
 * @param allowedMethod the method to name in the header {@code Allow}; null for no such header
 */
record AdminResponse(
        HttpResponseStatus status,
        byte[] body,
        CharSequence contentType,
        HttpMethod allowedMethod) {
    /** Returns a JSON object with one field, status or error; {@code text} is not escaped. */
    static AdminResponse of(HttpResponseStatus status, String text) {
        return new AdminResponse(
                status, json(status, text), HttpHeaderValues.APPLICATION_JSON, null);
    }

    /** Returns a successful response with this body. */
    static AdminResponse of(byte[] body, CharSequence contentType) {
        return new AdminResponse(HttpResponseStatus.OK, body, contentType, null);
    }

    /** Returns a response that rejects the method of a call and names the allowed one. */
    static AdminResponse methodNotAllowed(HttpMethod allowedMethod) {
        HttpResponseStatus status = HttpResponseStatus.METHOD_NOT_ALLOWED;
        return new AdminResponse(
                status,
                json(status, "the method is " + allowedMethod),
                HttpHeaderValues.APPLICATION_JSON,
                allowedMethod);
    }

    private static byte[] json(HttpResponseStatus status, String text) {
        String fieldName =
                status.code() < HttpResponseStatus.BAD_REQUEST.code() ? "status" : "error";
        return ("{\"" + fieldName + "\":\"" + text + "\"}\n").getBytes(StandardCharsets.UTF_8);
    }

    FullHttpResponse toHttpResponse() {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (allowedMethod != null) {
            response.headers().set(HttpHeaderNames.ALLOW, allowedMethod);
        }
        return response;
    }
}
