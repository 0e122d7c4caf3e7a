package frostrelay.console;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Translates calls into {@link Operations} and what comes of them into answers; it decides nothing. */
final class Calls {
    private final Operations operations;
    private final EventLoop loop;

    Calls(Operations operations, EventLoop loop) {
        this.operations = operations;
        this.loop = loop;
    }

    Future<Answer> answer(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            return done(Answer.of(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                    : HttpResponseStatus.BAD_REQUEST, "no call that can be read"));
        }
        String path = new QueryStringDecoder(request.uri()).rawPath();
        HttpMethod method = switch (path) {
            case "/ops/readiness", "/ops/audit", "/ops/audit/record" -> HttpMethod.GET;
            case "/ops/drain/start", "/ops/drain/stop", "/ops/stragglers/keep-in", "/ops/stragglers/let-go", "/ops/template-caches/down", "/ops/template-caches/up" ->
                    HttpMethod.POST;
            default -> null;
        };
        if (method == null) {
            return done(Answer.of(HttpResponseStatus.NOT_FOUND, "no such path"));
        }
        if (!method.equals(request.method())) {
            return done(new Answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "the method is " + method, method));
        }
        return switch (path) {
            case "/ops/readiness" -> done(operations.ready() ? Answer.of(HttpResponseStatus.OK, "ready")
                    : Answer.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
            case "/ops/audit" -> done(whole(operations.audit(), HttpHeaderValues.APPLICATION_JSON));
            case "/ops/audit/record" -> done(whole(operations.auditRecord(),
                    HttpHeaderValues.APPLICATION_OCTET_STREAM));
            case "/ops/stragglers/keep-in", "/ops/stragglers/let-go" -> done(operations.keepIn(path.endsWith("/keep-in"))
                    ? Answer.of(HttpResponseStatus.OK, path.endsWith("/keep-in") ? "kept in" : "let go")
                    : Answer.of(HttpResponseStatus.NOT_FOUND, "this balancer never steps aside"));
            case "/ops/drain/start" -> {
                operations.startDrain();
                yield done(Answer.of(HttpResponseStatus.OK, "draining"));
            }
            case "/ops/drain/stop" -> {
                operations.stopDrain();
                yield done(Answer.of(HttpResponseStatus.OK, "serving"));
            }
            default -> hold(request, path.endsWith("/down"));
        };
    }

    private static Answer whole(byte[] body, CharSequence type) {
        return body == null ? Answer.of(HttpResponseStatus.NOT_FOUND, "this balancer keeps no account")
                : Answer.of(body, type);
    }

    private Future<Answer> hold(FullHttpRequest request, boolean out) {
        Object body;
        try {
            body = JSON.std.anyFrom(request.content().toString(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return done(Answer.of(HttpResponseStatus.BAD_REQUEST, "the body is no JSON"));
        }
        if (!(body instanceof Map<?, ?> call && call.get("id") instanceof String id) || id.isEmpty()) {
            return done(Answer.of(HttpResponseStatus.BAD_REQUEST, "the body has no id"));
        }
        Promise<Answer> answer = loop.newPromise();
        operations.hold(id, out).addListener((Future<Boolean> done) -> {
            if (!done.isSuccess()) {
                answer.setFailure(done.cause());
            } else if (!done.getNow()) {
                answer.setSuccess(Answer.of(HttpResponseStatus.NOT_FOUND, "nobody has this id"));
            } else {
                answer.setSuccess(Answer.of(HttpResponseStatus.OK, out ? "down" : "up"));
            }
        });
        return answer;
    }

    private Future<Answer> done(Answer answer) {
        return loop.newSucceededFuture(answer);
    }
}
