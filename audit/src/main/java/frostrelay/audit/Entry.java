package frostrelay.audit;

import frostrelay.peers.Stamp;
import frostrelay.peers.State;

/**
 * One entry of a balancer's record. {@code at}: nanoseconds since this life of it began, on its
 * monotonic clock, which does not jump; wall clocks are in Unix milliseconds and may. Immutable.
 */
public sealed interface Entry {
    /** When it was entered. */
    long at();

    /** A life begins. {@code rank}: its number among its peers, -1 where it has none. */
    record Start(long at, String name, int rank, long incarnation, int build, long wallMs)
            implements Entry {}

    /**
     * From now on it acts on this. {@code sequence}: how often that had changed before in this
     * life.
     */
    record Acts(long at, int sequence, Cause cause, long wallMs, Stamp stamp) implements Entry {}

    /** A cache goes by a number from now on, for the entries behind this one. */
    record Names(long at, int cache, String uid) implements Entry {}

    /**
     * What its list says of a cache from now on: {@code ready}, or not to be used. Entered before
     * the {@link Acts}.
     */
    record Lists(long at, int cache, boolean ready, long bootMs) implements Entry {}

    /**
     * Sends that were written since the last such entry, under one stamp; {@code caches} and {@code
     * sends} go together.
     */
    record Counts(
            long at, int sequence, int copies, int refused, int failed, int[] caches, int[] sends)
            implements Entry {}

    /**
     * One send, where operators want them one by one. {@code id}: the request's, as its client gave
     * it.
     */
    record Sent(long at, int sequence, int cache, int attempt, String id) implements Entry {}

    /**
     * It knows from now on that another acts on something else; {@code age}: nanoseconds since that
     * one said so.
     */
    record Heard(long at, int rank, long incarnation, int sequence, int ref, long age)
            implements Entry {}

    /** What it believes of another has changed. */
    record Believes(long at, int rank, long incarnation, State state, int by) implements Entry {}

    /**
     * Another's life was {@code theirMs} old at some moment between {@code sent} and {@code at}.
     */
    record Clock(long at, int rank, long incarnation, long sent, long theirMs) implements Entry {}

    /**
     * Its wall clock has moved by this against its monotonic one since the last such entry or the
     * start.
     */
    record Jumped(long at, long byMs) implements Entry {}

    /**
     * Its own incarnation has changed: it was called dead, or another life of its name is known.
     */
    record Renumbered(long at, long incarnation) implements Entry {}

    /** Something that could not be taken, in words: a configuration, mostly. */
    record Refused(long at, String what) implements Entry {}

    /**
     * Entries that are missing here, and from when on they are: room had run out, or a disk refused
     * them.
     */
    record Gap(long at, long from, long entries, String why) implements Entry {}

    /**
     * What stands before this repeats older entries, so that those behind it can be understood by
     * themselves.
     */
    record Resumes(long at) implements Entry {}

    /** It ended in order. What comes behind is another life's. */
    record End(long at) implements Entry {}
}
