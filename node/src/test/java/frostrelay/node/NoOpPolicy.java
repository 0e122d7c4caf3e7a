package frostrelay.node;

import frostrelay.policy.Api;

import java.util.List;
import java.util.Set;

/** A module that does nothing: tests override what they are about. */
class NoOpPolicy implements Api.Events {
    @Override
    public void onPeerHealthReports(long now, java.util.Set<Long> outliers) {
        // No test of this class looks at it.
    }

    final Api.Actions actions;

    NoOpPolicy(Api.Actions actions) {
        this.actions = actions;
    }

    @Override
    public void onEndpointUpdate(long now, Api.ListMode mode, List<Api.Server> servers) {}

    @Override
    public void onRequest(long now, Api.Request request) {}

    @Override
    public void onAttemptOutcome(long now, Api.Outcome outcome) {}

    @Override
    public void onFirstByte(long now, long request, int attempt) {}

    @Override
    public void onClientDisconnect(long now, long request) {}

    @Override
    public void onTimer(long now, int token) {}

    @Override
    public void onAdminDrains(long now, Set<Long> drainedServers) {}

    @Override
    public void onSettings(long now, Api.Settings settings) {}

    @Override
    public void onSiblingProcesses(long now, int siblingCount) {}
}
