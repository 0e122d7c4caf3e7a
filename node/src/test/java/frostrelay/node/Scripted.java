package frostrelay.node;

import frostrelay.policy.Api;

import java.util.List;
import java.util.Set;

/** A module that does nothing: tests override what they are about. */
class Scripted implements Api.Events {
    @Override
    public void onFleet(long now, java.util.Set<Long> lowered) {
        // No test of this class looks at it.
    }

    final Api.Actions actions;

    Scripted(Api.Actions actions) {
        this.actions = actions;
    }

    @Override
    public void onList(long now, Api.ListMode mode, List<Api.Server> servers) {}

    @Override
    public void onRequest(long now, Api.Request request) {}

    @Override
    public void onOutcome(long now, Api.Outcome outcome) {}

    @Override
    public void onFirstByte(long now, long request, int attempt) {}

    @Override
    public void onClientGone(long now, long request) {}

    @Override
    public void onTimer(long now, int token) {}

    @Override
    public void onHolds(long now, Set<Long> servers) {}

    @Override
    public void onSettings(long now, Api.Settings settings) {}

    @Override
    public void onOthers(long now, int others) {}
}
