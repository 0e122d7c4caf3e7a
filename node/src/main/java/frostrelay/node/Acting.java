package frostrelay.node;

import frostrelay.audit.AuditLog;
import frostrelay.audit.Cause;
import frostrelay.judgements.Seen;
import frostrelay.peers.Stamp;
import frostrelay.policy.Api;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Puts the stamp together that this balancer acts under, has every change of it entered, and counts
 * what is done.
 */
final class Acting implements Witness {
    private record Listed(int number, boolean ready, long bootMs, long digest) {}

    /** Hears of changes. */
    interface Changes {
        /** It acts on this from now on. */
        void onStamp(Stamp stamp);

        /**
         * Operators hold these caches here, by their numbers, and the stamp has this digest for it.
         */
        void onHolds(long digest, Set<Long> caches);

        /**
         * The list has changed: the caches that it names as ready, with their starts in
         * milliseconds, and their names.
         */
        void onListed(Map<Long, Long> ready, Map<Long, String> names);

        /** An attempt at a cache told this of it. */
        void onSeen(long cache, Seen seen, long sentAt);

        /** What is done, for whoever counts. */
        Witness counting();

        /** By the list of that version a cache, by its number, may be used or may not. */
        void onCache(long rev, long cache, boolean ready);
    }

    private final AuditLog audit;
    private final LongSupplier wall;
    private final Changes changes;
    private final Map<String, Listed> list = new HashMap<>();
    private long listDigest;

    /** {@code audit}: has the first stamp; {@code changes}: hears of each later one. */
    Acting(AuditLog audit, LongSupplier wall, Changes changes) {
        this.audit = audit;
        this.wall = wall;
        this.changes = changes;
    }

    /** What a balancer acts on before it has taken any list. */
    static Stamp first(Config config, int build) {
        return new Stamp(build, config.version(), config.digest(), 0, 0, 0, 0);
    }

    @Override
    public void onList(Api.ListMode mode, long rev, List<Catalog.Member> members) {
        if (mode == Api.ListMode.FAILED) {
            return;
        }
        if (mode != Api.ListMode.DELTA) {
            Set<String> unnamed = new TreeSet<>(list.keySet());
            members.forEach(member -> unnamed.remove(member.uid()));
            unnamed.forEach(uid -> put(rev, uid, Api.State.GONE, list.get(uid).bootMs));
        }
        members.forEach(
                member ->
                        put(
                                rev,
                                member.uid(),
                                member.server().state(),
                                member.server().startedAt() / Clock.MILLISECOND));
        Map<Long, Long> ready = new HashMap<>();
        Map<Long, String> names = new HashMap<>();
        list.forEach(
                (uid, listed) -> {
                    if (listed.ready) {
                        ready.put(Catalog.hash(uid), listed.bootMs);
                        names.put(Catalog.hash(uid), uid);
                    }
                });
        changes.onListed(ready, names);
        Stamp now = audit.stamp();
        change(
                new Stamp(
                        now.build(),
                        now.confNumber(),
                        now.confDigest(),
                        rev,
                        listDigest,
                        now.holds(),
                        now.terms()),
                mode == Api.ListMode.CACHED ? Cause.START : Cause.DISCOVERY);
    }

    /** The list's digest is a sum, so that it is the same in whatever order entries come and go. */
    private void put(long rev, String uid, Api.State state, long bootMs) {
        Listed before = list.get(uid);
        if (state == Api.State.GONE && before == null) {
            return;
        }
        long digest = state == Api.State.GONE ? 0 : Digests.of(uid + '|' + state + '|' + bootMs);
        listDigest += digest - (before == null ? 0 : before.digest);
        int number = number(uid);
        boolean ready = state == Api.State.READY;
        if (before == null || before.ready != ready || before.bootMs != bootMs) {
            audit.lists(Clock.now(), number, ready, bootMs);
            if (before != null || ready) {
                changes.onCache(rev, Catalog.hash(uid), ready);
            }
        }
        if (state == Api.State.GONE) {
            list.remove(uid);
        } else {
            list.put(uid, new Listed(number, ready, bootMs, digest));
        }
    }

    /** The caches that the list names as ready, by their numbers. */
    Set<Long> ready() {
        Set<Long> ready = new HashSet<>();
        list.forEach(
                (uid, listed) -> {
                    if (listed.ready) {
                        ready.add(Catalog.hash(uid));
                    }
                });
        return ready;
    }

    @Override
    public void onConfig(Config config) {
        Stamp now = audit.stamp();
        change(
                new Stamp(
                        now.build(),
                        config.version(),
                        config.digest(),
                        now.listRev(),
                        now.listDigest(),
                        now.holds(),
                        now.terms()),
                Cause.FILE);
    }

    @Override
    public void onHolds(Set<String> names) {
        Stamp now = audit.stamp();
        long digest = names.isEmpty() ? 0 : Digests.of(String.join("\n", new TreeSet<>(names)));
        change(
                new Stamp(
                        now.build(),
                        now.confNumber(),
                        now.confDigest(),
                        now.listRev(),
                        now.listDigest(),
                        digest,
                        now.terms()),
                Cause.OPERATORS);
        Set<Long> caches = new HashSet<>();
        names.forEach(name -> caches.add(Catalog.hash(name)));
        changes.onHolds(digest, caches);
    }

    private void change(Stamp fresh, Cause why) {
        if (!fresh.equals(audit.stamp())) {
            audit.acts(Clock.now(), wall.getAsLong(), fresh, why);
            changes.onStamp(fresh);
        }
    }

    @Override
    public void onRefusedConfig(String reason) {
        audit.refused(Clock.now(), reason);
    }

    @Override
    public int sequence() {
        return audit.sequence();
    }

    @Override
    public int number(String uid) {
        return audit.number(Clock.now(), uid);
    }

    @Override
    public void onWrite(int under, int cache, int attempt, boolean copy, Ask ask) {
        audit.sent(Clock.now(), under, cache, attempt, copy, ask.id());
        changes.counting().onWrite(under, cache, attempt, copy, ask);
    }

    @Override
    public void onSeen(long cache, Seen seen, long sentAt) {
        changes.onSeen(cache, seen, sentAt);
    }

    @Override
    public void onTaken(boolean repeat) {
        changes.counting().onTaken(repeat);
    }

    @Override
    public void onEnded(Api.Reason reason, Api.Source source) {
        changes.counting().onEnded(reason, source);
    }

    @Override
    public void onRefused() {
        audit.refused();
        changes.counting().onRefused();
    }

    @Override
    public void onFailed() {
        audit.failed();
    }
}
