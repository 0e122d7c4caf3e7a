package frostrelay.node;

import frostrelay.judgements.Seen;
import frostrelay.policy.Api;

import java.util.List;
import java.util.Set;

/** Hears what a balancer acts on, just before it does, and what it does. On the event loop. */
interface Witness {
    /** Where nobody wants to know. */
    Witness NOBODY = new Witness() {};

    /** The list is applied; what failed changes nothing. */
    default void onList(Api.ListMode mode, long rev, List<Catalog.Member> members) {}

    default void onConfig(Config config) {}

    /** Operators hold these out of use, by the names that the list has for them. */
    default void onHolds(Set<String> names) {}

    /** A configuration that was not taken. */
    default void onRefusedConfig(String reason) {}

    /** The number of the stamp that decisions are made under now. */
    default int sequence() {
        return 0;
    }

    /** The number that a cache goes by here. */
    default int number(String uid) {
        return 0;
    }

    /**
     * An attempt is written; {@code under}: the stamp it was decided on under; {@code copy}:
     * another is still out.
     */
    default void onWrite(int under, int cache, int attempt, boolean copy, Ask ask) {}

    /**
     * An attempt at a cache, begun at {@code sentAt}, has ended and told this of it; {@code cache}:
     * its number on the list.
     */
    default void onSeen(long cache, Seen seen, long sentAt) {}

    /** A request is taken; {@code repeat}: its client asked before. */
    default void onTaken(boolean repeat) {}

    /** An attempt that was written has ended. */
    default void onEnded(Api.Reason reason, Api.Source source) {}

    /** A request is refused by decision. */
    default void onRefused() {}

    /** A request is given up by decision. */
    default void onFailed() {}
}
