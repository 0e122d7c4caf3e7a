package frostrelay.node;

import frostrelay.policy.api.AttemptOutcome;
import frostrelay.policy.api.EndpointUpdateMode;
import frostrelay.policy.api.PolicyActions;
import frostrelay.policy.api.PolicyEvents;
import frostrelay.policy.api.PolicySettings;
import frostrelay.policy.api.Request;
import frostrelay.policy.api.Server;

import java.util.List;
import java.util.Set;

/** A policy that does nothing. Tests override the handlers of the events that they need. */
public class NoOpPolicy implements PolicyEvents {
    final PolicyActions actions;

    public NoOpPolicy(PolicyActions actions) {
        this.actions = actions;
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, List<Server> servers) {}

    @Override
    public void onRequest(long now, Request request) {}

    @Override
    public void onAttemptOutcome(long now, AttemptOutcome outcome) {}

    @Override
    public void onFirstByte(long now, long request, int attempt) {}

    @Override
    public void onClientDisconnect(long now, long request) {}

    @Override
    public void onTimer(long now, int token) {}

    @Override
    public void onAdminDrains(long now, Set<Long> drainedServers) {}

    @Override
    public void onSettings(long now, PolicySettings settings) {}

    @Override
    public void onPeerHealthReports(long now, Set<Long> outliers) {}

    @Override
    public void onSiblingProcesses(long now, int siblingCount) {}
}
