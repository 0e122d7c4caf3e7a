package frostrelay.node.proxy;

import frostrelay.node.discovery.DiscoveryClient;
import frostrelay.policy.api.EndpointUpdateMode;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import java.util.concurrent.TimeUnit;

/**
 * Keeps the subscription to pushed endpoint lists, where the policy does not subscribe itself: this
 * process watches its own agent all the time, at no cost, and serves no client before its first
 * answer. Runs on the event loop.
 */
final class EndpointSubscription {
    /**
     * An agent that is down is back within seconds, and the list that it then has applies at once,
     * but for a drain's 500 ms.
     */
    private static final long AGENT_RECONNECT_MILLIS = 150;

    /** How long clients wait at a start for the list of an agent that is unresponsive. */
    private static final long INITIAL_LIST_TIMEOUT_MILLIS = 2_000;

    private final EventLoop loop;
    private final DiscoveryClient discovery;
    private final Promise<Void> initialListReceived;

    EndpointSubscription(EventLoop loop, DiscoveryClient discovery) {
        this.loop = loop;
        this.discovery = discovery;
        this.initialListReceived = loop.newPromise();
    }

    /** Done when clients may be served. */
    Future<Void> initialListReceived() {
        return initialListReceived;
    }

    /** Limits how long clients wait; not at all if the policy subscribes itself. */
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

    /** Subscribes when the cached list has been applied, and again after a failure. */
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
