package frostrelay.console;

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
 * {@code allow}: the method of the path, or null.
 */
record Answer(
        HttpResponseStatus status, String text, HttpMethod allow, byte[] whole, CharSequence type) {
    Answer(HttpResponseStatus status, String text, HttpMethod allow) {
        this(status, text, allow, null, HttpHeaderValues.APPLICATION_JSON);
    }

    static Answer of(HttpResponseStatus status, String text) {
        return new Answer(status, text, null);
    }

    static Answer of(byte[] whole, CharSequence type) {
        return new Answer(HttpResponseStatus.OK, null, null, whole, type);
    }

    /** None of the texts holds what JSON would have to escape. */
    FullHttpResponse response() {
        String name = status.code() < HttpResponseStatus.BAD_REQUEST.code() ? "status" : "error";
        byte[] body =
                whole != null
                        ? whole
                        : ("{\"" + name + "\":\"" + text + "\"}\n")
                                .getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, type)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (allow != null) {
            response.headers().set(HttpHeaderNames.ALLOW, allow);
        }
        return response;
    }
}
