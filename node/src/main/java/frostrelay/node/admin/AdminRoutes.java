package frostrelay.node.admin;

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
 * Translates calls into {@link AdminOperations} and what comes of them into answers; it decides
 * nothing.
 */
final class AdminRoutes {
    private final AdminOperations operations;
    private final EventLoop loop;

    AdminRoutes(AdminOperations operations, EventLoop loop) {
        this.operations = operations;
        this.loop = loop;
    }

    Future<AdminResponse> handle(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            boolean isTooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            return completed(
                    AdminResponse.of(
                            isTooLong
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
            return completed(AdminResponse.of(HttpResponseStatus.NOT_FOUND, "no such path"));
        }
        if (!method.equals(request.method())) {
            return completed(
                    new AdminResponse(
                            HttpResponseStatus.METHOD_NOT_ALLOWED,
                            "the method is " + method,
                            method));
        }
        return switch (path) {
            case "/ops/readiness" ->
                    completed(
                            operations.isReady()
                                    ? AdminResponse.of(HttpResponseStatus.OK, "ready")
                                    : AdminResponse.of(
                                            HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
            case "/ops/audit" ->
                    completed(
                            binaryResponse(
                                    operations.auditStatement(),
                                    HttpHeaderValues.APPLICATION_JSON));
            case "/ops/audit/record" ->
                    completed(
                            binaryResponse(
                                    operations.auditRecord(),
                                    HttpHeaderValues.APPLICATION_OCTET_STREAM));
            case "/ops/stragglers/keep-in" -> setOverride("keep-in", true, "kept in");
            case "/ops/stragglers/shut-out" -> setOverride("shut-out", true, "shut out");
            case "/ops/stragglers/let-go" -> setOverride("", false, "let go");
            case "/ops/stragglers/follow" -> followVersion(request);
            case "/ops/drain/start" -> {
                operations.startDrain();
                yield completed(AdminResponse.of(HttpResponseStatus.OK, "draining"));
            }
            case "/ops/drain/stop" -> {
                operations.stopDrain();
                yield completed(AdminResponse.of(HttpResponseStatus.OK, "serving"));
            }
            default -> setAdminDrain(request, path.endsWith("/down"));
        };
    }

    private static AdminResponse binaryResponse(byte[] body, CharSequence type) {
        return body == null
                ? AdminResponse.of(HttpResponseStatus.NOT_FOUND, "this balancer keeps no account")
                : AdminResponse.of(body, type);
    }

    /** The call's body; null where it is no JSON. */
    private static Object parseBody(FullHttpRequest request) {
        try {
            return JSON.std.anyFrom(request.content().toString(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return null;
        }
    }

    private Future<AdminResponse> setAdminDrain(FullHttpRequest request, boolean isDrained) {
        Object body = parseBody(request);
        if (body == null) {
            return completed(
                    AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "the body is no JSON"));
        }
        if (!(body instanceof Map<?, ?> call && call.get("id") instanceof String id)
                || id.isEmpty()) {
            return completed(
                    AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "the body has no id"));
        }
        return respondWhenDone(
                operations.setAdminDrain(id, isDrained),
                isDrained ? "down" : "up",
                "nobody has this id");
    }

    private Future<AdminResponse> followVersion(FullHttpRequest request) {
        if (!(parseBody(request) instanceof Map<?, ?> call
                && call.get("number") instanceof Number number
                && ("list".equals(call.get("kind")) || "config".equals(call.get("kind"))))) {
            return completed(
                    AdminResponse.of(
                            HttpResponseStatus.BAD_REQUEST,
                            "the body is {\"kind\": \"list\" or \"config\", \"number\": N}"));
        }
        return setOverride(
                "follow:" + call.get("kind") + ':' + number.longValue(), true, "followed");
    }

    private Future<AdminResponse> setOverride(
            String decision, boolean isActive, String successText) {
        return respondWhenDone(
                operations.setOverride(decision, isActive),
                successText,
                "this balancer minds no others");
    }

    private Future<AdminResponse> respondWhenDone(
            Future<Boolean> future, String successText, String notFoundText) {
        Promise<AdminResponse> response = loop.newPromise();
        future.addListener(
                (Future<Boolean> done) -> {
                    if (!done.isSuccess()) {
                        response.setFailure(done.cause());
                    } else if (!done.getNow()) {
                        response.setSuccess(
                                AdminResponse.of(HttpResponseStatus.NOT_FOUND, notFoundText));
                    } else {
                        response.setSuccess(AdminResponse.of(HttpResponseStatus.OK, successText));
                    }
                });
        return response;
    }

    private Future<AdminResponse> completed(AdminResponse response) {
        return loop.newSucceededFuture(response);
    }
}
