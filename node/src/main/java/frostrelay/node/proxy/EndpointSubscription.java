package frostrelay.node.proxy;

import frostrelay.node.discovery.DiscoveryClient;
import frostrelay.policy.api.EndpointUpdateMode;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.concurrent.TimeUnit;

/**
 * Keeps a subscription to pushed endpoint lists if the policy does not subscribe itself. A
 * permanent subscription to the local discovery agent costs nothing. No client is served before the
 * agent's first response or a timeout. Runs on the event loop.
 */
final class EndpointSubscription {
    /**
     * The delay before the next subscription. A failed agent restarts within seconds, and its list
     * then applies immediately, except for the 500 ms of a drain.
     */
    private static final long AGENT_RECONNECT_MILLIS = 150;

    /** The longest time that clients wait after a start for the list of an unresponsive agent. */
    private static final long INITIAL_LIST_TIMEOUT_MILLIS = 2_000;

    private final EventLoop loop;
    private final DiscoveryClient discovery;
    private final Promise<Void> initialListReceived;

    EndpointSubscription(EventLoop loop, DiscoveryClient discovery) {
        this.loop = loop;
        this.discovery = discovery;
        this.initialListReceived = loop.newPromise();
    }

    /** Returns a future that is completed when clients may be served. */
    Future<Void> initialListReceived() {
        return initialListReceived;
    }

    /**
     * Starts the timeout for the first list. Clients do not wait at all if the policy subscribes
     * itself.
     */
    void startInitialWait(boolean policySubscribes) {
        if (policySubscribes) {
            initialListReceived.setSuccess(null);
        } else {
            loop.schedule(
                    () -> initialListReceived.trySuccess(null),
                    INITIAL_LIST_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Subscribes after the cached list has been applied, and again after a failure. */
    void onEndpointList(EndpointUpdateMode mode) {
        if (mode == EndpointUpdateMode.CACHED) {
            discovery.subscribe();
            return;
        }
        initialListReceived.trySuccess(null);
        if (mode == EndpointUpdateMode.FAILED) {
            loop.schedule(discovery::subscribe, AGENT_RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
