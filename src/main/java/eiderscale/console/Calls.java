package eiderscale.console;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.Future;

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
            case "/ops/readiness" -> HttpMethod.GET;
            case "/ops/drain/start", "/ops/drain/stop" -> HttpMethod.POST;
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
            case "/ops/drain/start" -> {
                operations.startDrain();
                yield done(Answer.of(HttpResponseStatus.OK, "draining"));
            }
            default -> {
                operations.stopDrain();
                yield done(Answer.of(HttpResponseStatus.OK, "serving"));
            }
        };
    }

    private Future<Answer> done(Answer answer) {
        return loop.newSucceededFuture(answer);
    }
}
