package frostrelay.node;

import frostrelay.judgements.counts.Count;
import frostrelay.judgements.counts.CountSettings;
import frostrelay.judgements.counts.Counts;
import frostrelay.judgements.counts.Sum;
import frostrelay.peers.Cargo;
import frostrelay.peers.State;
import frostrelay.policy.Api;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** What this balancer does, counted, and what the tier does together as far as it is known here. */
final class Counting implements Witness {
    private final Counts counts;
    private final Seams.Sums sums;

    Counting(PeerPort port, int rank, int count, long incarnation, UnaryOperator<Seams.Sums> seam) {
        counts =
                new Counts(
                        CountSettings.STANDARD,
                        rank,
                        count,
                        Clock.now(),
                        incarnation,
                        number ->
                                port.peers() != null
                                        && port.peers().known(Clock.now(), number).state()
                                                == State.ALIVE,
                        port::post);
        sums = seam.apply(counts::sum);
    }

    Cargo cargo() {
        return counts;
    }

    @Override
    public void onTaken(boolean repeat) {
        counts.add(repeat ? Count.REPEATS : Count.FIRST_TRIES);
    }

    @Override
    public void onWrite(int under, int cache, int attempt, boolean copy, Ask ask) {
        counts.add(Count.SENDS);
        if (copy) {
            counts.add(Count.COPIES);
        }
    }

    @Override
    public void onEnded(Api.Reason reason, Api.Source source) {
        counts.add(Count.ENDS);
        if (source == Api.Source.FETCH) {
            counts.add(Count.FETCHES);
        }
        if (reason == Api.Reason.ERROR) {
            counts.add(Count.FAILED);
        }
    }

    @Override
    public void onRefused() {
        counts.add(Count.REFUSED);
    }

    void onCargo(long now, long held, int from, long of, int type, ByteBuffer content) {
        counts.onCargo(now, held, from, of, type, content);
    }

    void tick(long now) {
        counts.tick(now);
    }

    /** Each sum with what it covers, and what each other said last. */
    void statement(Map<String, Object> into) {
        long now = Clock.now();
        Map<String, Object> all = new LinkedHashMap<>();
        for (Count one : Count.values()) {
            Sum sum = sums.sum(now, one);
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("known", sum.known());
            told.put(
                    "most",
                    Double.isInfinite(sum.most()) ? "unknown" : (Object) Math.round(sum.most()));
            told.put("rate", Math.round(sum.rate() * 10) / 10.0);
            told.put("covered", sum.covered());
            told.put("of", sum.of());
            told.put("oldestMs", sum.oldest() / Clock.MILLISECOND);
            all.put(one.word(), told);
        }
        into.put("counts", all);
        List<Object> others = new ArrayList<>();
        for (Counts.Row row : counts.rows(now)) {
            Map<String, Object> told = new LinkedHashMap<>();
            told.put("by", row.number());
            told.put("lifeMs", row.life());
            told.put("ageMs", row.age() / Clock.MILLISECOND);
            for (Count one : Count.values()) {
                told.put(one.word(), row.values()[one.ordinal()]);
            }
            others.add(told);
        }
        into.put("countsOf", others);
    }
}
