package frostrelay.node.admin;

import io.netty.handler.codec.http.HttpMethod;

/** The paths of the admin interface, each with the method it allows. */
enum AdminRoute {
    READINESS(HttpMethod.GET, "/ops/readiness"),
    AUDIT_STATEMENT(HttpMethod.GET, "/ops/audit"),
    AUDIT_RECORD(HttpMethod.GET, "/ops/audit/record"),
    START_DRAIN(HttpMethod.POST, "/ops/drain/start"),
    STOP_DRAIN(HttpMethod.POST, "/ops/drain/stop"),
    KEEP_IN(HttpMethod.POST, "/ops/stragglers/keep-in"),
    SHUT_OUT(HttpMethod.POST, "/ops/stragglers/shut-out"),
    FOLLOW_VERSION(HttpMethod.POST, "/ops/stragglers/follow"),
    CLEAR_OVERRIDES(HttpMethod.POST, "/ops/stragglers/let-go"),
    DRAIN_SERVER(HttpMethod.POST, "/ops/template-caches/down"),
    RESTORE_SERVER(HttpMethod.POST, "/ops/template-caches/up");

    private final HttpMethod method;
    private final String path;

    AdminRoute(HttpMethod method, String path) {
        this.method = method;
        this.path = path;
    }

    HttpMethod method() {
        return method;
    }

    /** Returns the route with this path, or null. */
    static AdminRoute ofPath(String path) {
        for (AdminRoute route : values()) {
            if (route.path.equals(path)) {
                return route;
            }
        }
        return null;
    }
}
