package frostrelay.node;

import frostrelay.judgements.Evidence;
import frostrelay.judgements.JudgementSettings;
import frostrelay.judgements.Judgements;
import frostrelay.judgements.Seen;
import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.peers.Cargo;

import io.netty.channel.EventLoop;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * What this balancer and the others see of their caches: attempts go to {@link Judgements}, what
 * comes of that to the module.
 */
final class Judging implements Judgements.Actions {
    private final EventLoop loop;
    private final Fleet.Lead lead;
    private final PeerPort port;
    private final Judgements judgements;
    private final Counters counters;

    /** The names of caches, for operators, by their numbers. */
    private final Map<Long, String> names = new LinkedHashMap<>();

    private long wakeAt = Long.MAX_VALUE;

    Judging(
            EventLoop loop,
            Fleet.Lead lead,
            Counters counters,
            PeerPort port,
            Judgements.Trust trust,
            int rank,
            int count,
            long incarnation,
            UnaryOperator<Judgements.Actions> seam) {
        this.loop = loop;
        this.lead = lead;
        this.counters = counters;
        this.port = port;
        judgements =
                new Judgements(
                        JudgementSettings.STANDARD,
                        rank,
                        count,
                        incarnation,
                        trust,
                        seam.apply(this));
    }

    Cargo cargo() {
        return judgements;
    }

    /** The caches that the list names as ready, with their starts, and their names. */
    void onList(Map<Long, Long> caches, Map<Long, String> named) {
        names.clear();
        names.putAll(named);
        judgements.onList(Clock.now(), caches);
        schedule();
    }

    void onLife(long incarnation) {
        judgements.onLife(incarnation);
    }

    void onSeen(long cache, Seen seen, long sentAt) {
        judgements.onSeen(Clock.now(), cache, seen, sentAt);
        schedule();
    }

    void onCargo(long now, long held, int from, long of, int type, ByteBuffer content) {
        judgements.onCargo(now, held, from, of, type, content);
        schedule();
    }

    void tick(long now, boolean deaf) {
        judgements.onDeaf(now, deaf);
        schedule();
    }

    private void schedule() {
        long next = judgements.next();
        if (next < wakeAt) {
            wakeAt = next;
            loop.schedule(
                    () -> {
                        wakeAt = Long.MAX_VALUE;
                        judgements.onWake(Clock.now());
                        schedule();
                    },
                    Math.max(0, next - Clock.now()),
                    TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void lower(Set<Long> caches) {
        if (counters.mayTell()) {
            Log.write(
                    Event.LOWERS,
                    caches.stream()
                            .map(cache -> names.getOrDefault(cache, "unknown"))
                            .sorted()
                            .toList());
        }
        lead.lower(caches);
    }

    @Override
    public void findsBad(long cache) {
        if (counters.mayTell()) {
            Log.write(Event.FINDS_BAD, names.getOrDefault(cache, "unknown"));
        }
    }

    @Override
    public void changed() {
        port.cargoChanged();
    }

    @Override
    public boolean post(int to, int type, ByteBuffer section) {
        return port.post(to, type, section);
    }

    /**
     * Each cache of which anybody says something: who, what, how old, and what is made of it here.
     */
    List<Object> statement() {
        long now = Clock.now();
        List<Object> told = new ArrayList<>();
        for (long cache : judgements.spokenOf()) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("cache", names.getOrDefault(cache, "unlisted"));
            one.put("lowered", judgements.lowered().contains(cache));
            List<Object> said = new ArrayList<>();
            for (Map.Entry<Evidence, Long> entry : judgements.said(now, cache).entrySet()) {
                Evidence evidence = entry.getKey();
                Map<String, Object> by = new LinkedHashMap<>();
                by.put("by", evidence.rank());
                by.put("answered", evidence.good());
                by.put("not", evidence.bad());
                List<String> kinds = new ArrayList<>();
                for (Seen seen : Seen.values()) {
                    if ((evidence.kinds() & seen.bit()) != 0) {
                        kinds.add(seen.name().toLowerCase(Locale.ROOT).replace('_', '-'));
                    }
                }
                by.put("kinds", kinds);
                by.put("ageMs", entry.getValue() / Clock.MILLISECOND);
                said.add(by);
            }
            one.put("said", said);
            told.add(one);
        }
        return told;
    }
}
