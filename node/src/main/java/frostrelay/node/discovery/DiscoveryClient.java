package frostrelay.node.discovery;

import frostrelay.node.config.Config;
import frostrelay.node.config.CurrentSettings;
import frostrelay.node.config.EndpointList;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.time.Clock;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicySettings;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Watches the discovery's endpoint list of cache servers by long polling, from {@link #subscribe}
 * on. Owned by the event loop; not thread-safe.
 */
public final class DiscoveryClient {
    /**
     * Receives every list in order. A failure, {@link EndpointUpdateMode#FAILED}, ends the watch;
     * the decision module may subscribe again, and this client does if there is a latest time.
     */
    public interface Listener {
        void onEndpointList(
                EndpointUpdateMode mode, long revision, List<EndpointList.Endpoint> endpoints);
    }

    /** At most one call in this time, in case every answer is immediate; a watch allows 200 ms. */
    private static final long MIN_CALL_INTERVAL_MILLIS = 100;

    private static final String ENDPOINTS_PATH = "/catalog/members";

    private InetSocketAddress address;
    private final CurrentSettings currentSettings;
    private final EventLoop loop;
    private final Listener listener;
    private final CallSchedule schedule = new CallSchedule(Clock.now());
    private long revision;

    /**
     * The next call requests the full list, without waiting: after a change of address, since
     * versions are specific to one discovery, and for the first call to an agent.
     */
    private boolean needsFullList;

    /** The address has changed and the discovery there has not answered yet. */
    private boolean isAddressNew;

    /** The call in progress or about to start; null without a watch. */
    private WatchCall currentCall;

    /**
     * The watch that the current call has replaced before its wait was over; null if there is none.
     */
    private WatchCall replacedCall;

    /** Subscribes at the latest time after a failure; null if there has been none. */
    private Future<?> retryTask;

    /**
     * Creates a client that does nothing until {@link #subscribe}.
     *
     * @param currentSettings the settings in effect, with which the lists are parsed
     * @param listener called on {@code loop}
     */
    public DiscoveryClient(
            Config config, CurrentSettings currentSettings, EventLoop loop, Listener listener) {
        this.address = config.discoveryAddress();
        this.currentSettings = currentSettings;
        this.loop = loop;
        this.listener = listener;
        this.revision = config.initialEndpoints().revision();
        this.needsFullList = !currentSettings.get().policySettings.subscribe();
    }

    /** An agent, to which lists are pushed, serves this balancer only. */
    private long watchWaitNanos() {
        PolicySettings settings = currentSettings.get().policySettings;
        return CallSchedule.watchWaitNanos(settings.subscribe() ? settings.instanceCount() : 1);
    }

    /** Starts a watch from the last known version, unless there is one. */
    public void subscribe() {
        if (currentCall == null) {
            startCall();
        }
    }

    private void startCall() {
        currentCall = new WatchCall();
        currentCall.start();
    }

    /**
     * Restarts the watch from the last known version, as the update that the call in progress
     * should have returned may have been lost. Does nothing without a watch.
     */
    public void refresh() {
        if (currentCall != null) {
            cancelCalls();
            startCall();
        }
    }

    private void cancelCalls() {
        if (currentCall != null) {
            currentCall.cancel();
        }
        if (replacedCall != null) {
            replacedCall.cancel();
            replacedCall = null;
        }
    }

    /**
     * Changes the address of the discovery. The call to the old address is cancelled silently, as
     * its end is no failure that requires a backoff, and the new address is called at once, because
     * the old one sends no more updates and those of the new one are needed within seconds.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Log.write(Event.DISCOVERY_ADDRESS_CHANGED, address, newAddress);
        address = newAddress;
        isAddressNew = true;
        needsFullList = true;
        schedule.onMoved(Clock.now());
        cancelCalls();
        startCall();
    }

    /** One call and its timers. */
    private final class WatchCall implements DiscoveryCall.Listener {
        /** How long the call asks to wait for a change; 0 if it is answered at once. */
        private long waitNanos;

        private long startedAtNanos;
        private DiscoveryCall call;
        private Future<?> timeoutTask;
        private boolean isFinished;

        void start() {
            if (isFinished) {
                return;
            }
            if (retryTask != null) {
                retryTask.cancel(false);
            }
            startedAtNanos = Clock.now();
            waitNanos = needsFullList ? 0 : watchWaitNanos();
            call = new DiscoveryCall(address, uri(), currentSettings, this);
            // Before connecting, which may fail synchronously.
            scheduleTimeout();
            call.start(loop);
        }

        private String uri() {
            return waitNanos == 0
                    ? ENDPOINTS_PATH
                    : ENDPOINTS_PATH
                            + "?since="
                            + revision
                            + "&timeout_ms="
                            + waitNanos / Clock.NANOS_PER_MILLISECOND;
        }

        private void scheduleTimeout() {
            if (waitNanos == 0) {
                scheduleExpiry();
            } else {
                timeoutTask =
                        loop.schedule(
                                this::replace,
                                CallSchedule.replacedAfterNanos(waitNanos),
                                TimeUnit.NANOSECONDS);
            }
        }

        private void scheduleExpiry() {
            long expiresAtNanos = startedAtNanos + CallSchedule.expiresAfterNanos(waitNanos);
            timeoutTask =
                    loop.schedule(this::expire, expiresAtNanos - Clock.now(), TimeUnit.NANOSECONDS);
        }

        /** Starts the next watch beside this one, which goes on until its own answer. */
        private void replace() {
            if (replacedCall != null) {
                replacedCall.cancel();
            }
            replacedCall = this;
            scheduleExpiry();
            startCall();
        }

        /**
         * Gives the call up without a failure: the discovery may be healthy and only this call's
         * connection dead. The current call is restarted at once.
         */
        private void expire() {
            Log.write(Event.DISCOVERY_FAILED, "silence");
            cancel();
            if (this == replacedCall) {
                replacedCall = null;
            } else {
                startCall();
            }
        }

        @Override
        public void onList(EndpointList endpointList) {
            finish();
            boolean isReplaced = this == replacedCall;
            if (isReplaced) {
                replacedCall = null;
                if (endpointList.revision() < revision) {
                    return;
                }
            }
            schedule.onList(Clock.now());
            if (isAddressNew) {
                Log.write(
                        Event.DISCOVERY_ADDRESS_CONNECTED,
                        address,
                        endpointList.revision(),
                        revision);
            }
            isAddressNew = false;
            needsFullList = false;
            revision = endpointList.revision();
            if (!isReplaced) {
                scheduleNextCall();
            }
            listener.onEndpointList(
                    endpointList.isFull() ? EndpointUpdateMode.FULL : EndpointUpdateMode.DELTA,
                    endpointList.revision(),
                    endpointList.endpoints());
        }

        private void scheduleNextCall() {
            WatchCall nextCall = new WatchCall();
            currentCall = nextCall;
            long elapsedMillis = (Clock.now() - startedAtNanos) / Clock.NANOS_PER_MILLISECOND;
            loop.schedule(
                    nextCall::start,
                    Math.max(0, MIN_CALL_INTERVAL_MILLIS - elapsedMillis),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void onFailure(String reason) {
            finish();
            Log.write(Event.DISCOVERY_FAILED, reason);
            if (this == replacedCall) {
                replacedCall = null;
                return;
            }
            currentCall = null;
            long now = Clock.now();
            long retryAtNanos =
                    schedule.onFailure(now, startedAtNanos, waitNanos, call.isConnected());
            if (retryAtNanos != CallSchedule.ANY_TIME) {
                retryTask =
                        loop.schedule(
                                DiscoveryClient.this::subscribe,
                                retryAtNanos - now,
                                TimeUnit.NANOSECONDS);
            }
            listener.onEndpointList(EndpointUpdateMode.FAILED, revision, List.of());
        }

        private void finish() {
            isFinished = true;
            if (timeoutTask != null) {
                timeoutTask.cancel(false);
            }
        }

        /** Ends the call, or prevents it from starting, without notifying the listener. */
        void cancel() {
            finish();
            if (call != null) {
                call.cancel();
            }
        }
    }
}
