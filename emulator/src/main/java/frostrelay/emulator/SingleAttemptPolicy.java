package frostrelay.emulator;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.Server;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A policy that sends each request once, to the cache selected by its key, and fails the request if
 * the attempt fails. Its own cost is negligible, so the run time is that of the emulator.
 */
final class SingleAttemptPolicy implements PolicyEvents {
    @Override
    public void onPeerHealthReports(long now, java.util.Set<Long> outliers) {
        // This policy does not track health.
    }

    private final PolicyActions actions;
    private final List<Long> servers = new ArrayList<>();

    SingleAttemptPolicy(PolicyActions actions) {
        this.actions = actions;
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> list) {
        if (servers.isEmpty()) {
            list.forEach(server -> servers.add(server.id()));
        }
    }

    @Override
    public void onRequest(long now, Request request) {
        // Keys may differ only in their upper bits.
        long mixed = (request.key() ^ request.key() >>> 32) * 0x9E3779B97F4A7C15L;
        actions.send(request.id(), servers.get((int) ((mixed >>> 33) % servers.size())), 0);
    }

    @Override
    public void onAttemptOutcome(long now, AttemptOutcome outcome) {
        if (!outcome.requestCompleted()) {
            actions.fail(outcome.requestId());
        }
    }

    @Override
    public void onFirstByte(long now, long requestId, int attempt) {
        // Nothing to decide.
    }

    @Override
    public void onClientDisconnect(long now, long requestId) {
        actions.cancel(requestId, 0);
    }

    @Override
    public void onTimer(long now, int token) {
        // This policy schedules no timers.
    }

    @Override
    public void onAdminDrains(long now, Set<Long> drainedServers) {
        // Nothing to decide.
    }

    @Override
    public void onSettings(long now, PolicySettings settings) {
        // Nothing to decide.
    }

    @Override
    public void onSiblingProcesses(long now, int siblingCount) {
        // Nothing to decide.
    }
}
