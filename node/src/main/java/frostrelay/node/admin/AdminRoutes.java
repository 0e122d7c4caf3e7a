package frostrelay.node.admin;

import com.fasterxml.jackson.jr.ob.JSON;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Dispatches calls to {@link AdminOperations} by {@link AdminRoute} and converts the results to
 * responses. Makes no decisions of its own.
 */
final class AdminRoutes {
    /** Kinds of versions that a balancer can be made to follow. */
    private static final List<String> VERSION_KINDS = List.of("list", "config");

    private final AdminOperations operations;
    private final EventLoop loop;

    AdminRoutes(AdminOperations operations, EventLoop loop) {
        this.operations = operations;
        this.loop = loop;
    }

    /** Executes a call; a failed future means that the operation failed. */
    Future<AdminResponse> handle(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return completed(malformedRequest(request.decoderResult().cause()));
        }
        AdminRoute route = AdminRoute.ofPath(new QueryStringDecoder(request.uri()).rawPath());
        if (route == null) {
            return completed(AdminResponse.of(HttpResponseStatus.NOT_FOUND, "no such path"));
        }
        if (!route.method().equals(request.method())) {
            return completed(AdminResponse.methodNotAllowed(route.method()));
        }
        return execute(route, request);
    }

    private static AdminResponse malformedRequest(Throwable cause) {
        return AdminResponse.of(
                cause instanceof TooLongFrameException
                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                        : HttpResponseStatus.BAD_REQUEST,
                "no call that can be read");
    }

    private Future<AdminResponse> execute(AdminRoute route, FullHttpRequest request) {
        return switch (route) {
            case READINESS -> completed(readiness());
            case AUDIT_STATEMENT ->
                    completed(
                            binaryResponse(
                                    operations.auditStatement(),
                                    HttpHeaderValues.APPLICATION_JSON));
            case AUDIT_RECORD ->
                    completed(
                            binaryResponse(
                                    operations.auditRecord(),
                                    HttpHeaderValues.APPLICATION_OCTET_STREAM));
            case START_DRAIN -> {
                operations.startDrain();
                yield completed(AdminResponse.of(HttpResponseStatus.OK, "draining"));
            }
            case STOP_DRAIN -> {
                operations.stopDrain();
                yield completed(AdminResponse.of(HttpResponseStatus.OK, "serving"));
            }
            case KEEP_IN -> setOverride(OverrideDecision.KEEP_IN, "kept in");
            case SHUT_OUT -> setOverride(OverrideDecision.SHUT_OUT, "shut out");
            case CLEAR_OVERRIDES -> setOverride(OverrideDecision.CLEAR_ALL, "let go");
            case FOLLOW_VERSION -> followVersion(request);
            case DRAIN_SERVER -> setAdminDrain(request, true);
            case RESTORE_SERVER -> setAdminDrain(request, false);
        };
    }

    private AdminResponse readiness() {
        return operations.isReady()
                ? AdminResponse.of(HttpResponseStatus.OK, "ready")
                : AdminResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    }

    private static AdminResponse binaryResponse(byte[] body, CharSequence type) {
        return body == null
                ? AdminResponse.of(HttpResponseStatus.NOT_FOUND, "this balancer keeps no account")
                : AdminResponse.of(body, type);
    }

    /** Returns the parsed body, or null if it is not JSON. */
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
                && call.get("kind") instanceof String kind
                && VERSION_KINDS.contains(kind))) {
            return completed(
                    AdminResponse.of(
                            HttpResponseStatus.BAD_REQUEST,
                            "the body is {\"kind\": \"list\" or \"config\", \"number\": N}"));
        }
        return setOverride(OverrideDecision.followVersion(kind, number.longValue()), "followed");
    }

    private Future<AdminResponse> setOverride(OverrideDecision decision, String successText) {
        return respondWhenDone(
                operations.setOverride(decision), successText, "this balancer minds no others");
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
