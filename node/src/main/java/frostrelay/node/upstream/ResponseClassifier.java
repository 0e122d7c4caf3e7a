package frostrelay.node.upstream;

import frostrelay.node.memcache.MetaFrame;
import frostrelay.node.proxy.ClientRequest;
import frostrelay.policy.api.AttemptResult;

/** Maps a cache server's response to the result of the attempt. Stateless. */
final class ResponseClassifier {
    private static final int FIRST_VALUE_FLAG_INDEX = 2;
    private static final int FIRST_STATUS_FLAG_INDEX = 1;

    private ResponseClassifier() {}

    /** Returns the result of the attempt, or null if the response violates the protocol. */
    static AttemptResult classify(ClientRequest clientRequest, MetaFrame response) {
        if (response.errorResponse() != null) {
            return null;
        }
        if (response.tokenEquals(0, "SERVER_ERROR")) {
            return classifyServerError(response);
        }
        boolean hasExpectedType =
                clientRequest.isWrite()
                        ? response.tokenEquals(0, "HD") && response.receipt() != null
                        : response.tokenEquals(0, "VA");
        return hasExpectedType && clientRequest.id().equals(opaque(response))
                ? AttemptResult.OK
                : null;
    }

    private static AttemptResult classifyServerError(MetaFrame response) {
        if (response.tokenEquals(1, "busy")) {
            return AttemptResult.REJECTED;
        }
        return response.tokenEquals(1, "failed") ? AttemptResult.ERROR : null;
    }

    /** Returns the request id in a response, or null if there is none. */
    static String opaque(MetaFrame response) {
        boolean hasValue = response.tokenEquals(0, "VA");
        return response.flagToken(hasValue ? FIRST_VALUE_FLAG_INDEX : FIRST_STATUS_FLAG_INDEX, 'O');
    }
}
