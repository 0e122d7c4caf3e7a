package frostrelay.console;

import com.fasterxml.jackson.jr.ob.JSON;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Translates calls into {@link Operations} and what comes of them into answers; it decides nothing.
 */
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
            return done(
                    Answer.of(
                            tooLong
                                    ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                    : HttpResponseStatus.BAD_REQUEST,
                            "no call that can be read"));
        }
        String path = new QueryStringDecoder(request.uri()).rawPath();
        HttpMethod method =
                switch (path) {
                    case "/ops/readiness", "/ops/audit", "/ops/audit/record" -> HttpMethod.GET;
                    case "/ops/drain/start",
                            "/ops/drain/stop",
                            "/ops/stragglers/keep-in",
                            "/ops/stragglers/shut-out",
                            "/ops/stragglers/follow",
                            "/ops/stragglers/let-go",
                            "/ops/template-caches/down",
                            "/ops/template-caches/up" ->
                            HttpMethod.POST;
                    default -> null;
                };
        if (method == null) {
            return done(Answer.of(HttpResponseStatus.NOT_FOUND, "no such path"));
        }
        if (!method.equals(request.method())) {
            return done(
                    new Answer(
                            HttpResponseStatus.METHOD_NOT_ALLOWED,
                            "the method is " + method,
                            method));
        }
        return switch (path) {
            case "/ops/readiness" ->
                    done(
                            operations.ready()
                                    ? Answer.of(HttpResponseStatus.OK, "ready")
                                    : Answer.of(
                                            HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
            case "/ops/audit" -> done(whole(operations.audit(), HttpHeaderValues.APPLICATION_JSON));
            case "/ops/audit/record" ->
                    done(
                            whole(
                                    operations.auditRecord(),
                                    HttpHeaderValues.APPLICATION_OCTET_STREAM));
            case "/ops/stragglers/keep-in" -> override("keep-in", true, "kept in");
            case "/ops/stragglers/shut-out" -> override("shut-out", true, "shut out");
            case "/ops/stragglers/let-go" -> override("", false, "let go");
            case "/ops/stragglers/follow" -> follow(request);
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
        return body == null
                ? Answer.of(HttpResponseStatus.NOT_FOUND, "this balancer keeps no account")
                : Answer.of(body, type);
    }

    /** The call's body; null where it is no JSON. */
    private static Object body(FullHttpRequest request) {
        try {
            return JSON.std.anyFrom(request.content().toString(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return null;
        }
    }

    private Future<Answer> hold(FullHttpRequest request, boolean out) {
        Object body = body(request);
        if (body == null) {
            return done(Answer.of(HttpResponseStatus.BAD_REQUEST, "the body is no JSON"));
        }
        if (!(body instanceof Map<?, ?> call && call.get("id") instanceof String id)
                || id.isEmpty()) {
            return done(Answer.of(HttpResponseStatus.BAD_REQUEST, "the body has no id"));
        }
        return answered(operations.hold(id, out), out ? "down" : "up", "nobody has this id");
    }

    private Future<Answer> follow(FullHttpRequest request) {
        if (!(body(request) instanceof Map<?, ?> call
                && call.get("number") instanceof Number number
                && ("list".equals(call.get("kind")) || "config".equals(call.get("kind"))))) {
            return done(
                    Answer.of(
                            HttpResponseStatus.BAD_REQUEST,
                            "the body is {\"kind\": \"list\" or \"config\", \"number\": N}"));
        }
        return override("follow:" + call.get("kind") + ':' + number.longValue(), true, "followed");
    }

    private Future<Answer> override(String word, boolean on, String done) {
        return answered(operations.override(word, on), done, "this balancer minds no others");
    }

    private Future<Answer> answered(Future<Boolean> future, String good, String otherwise) {
        Promise<Answer> answer = loop.newPromise();
        future.addListener(
                (Future<Boolean> done) -> {
                    if (!done.isSuccess()) {
                        answer.setFailure(done.cause());
                    } else if (!done.getNow()) {
                        answer.setSuccess(Answer.of(HttpResponseStatus.NOT_FOUND, otherwise));
                    } else {
                        answer.setSuccess(Answer.of(HttpResponseStatus.OK, good));
                    }
                });
        return answer;
    }

    private Future<Answer> done(Answer answer) {
        return loop.newSucceededFuture(answer);
    }
}
