package frostrelay.start;

import frostrelay.audit.Entry;
import frostrelay.audit.Recorder;
import frostrelay.judgements.Judgements;
import frostrelay.judgements.counts.Count;
import frostrelay.judgements.counts.Sum;
import frostrelay.node.Seams;
import frostrelay.rig.campaign.Matter;
import frostrelay.stragglers.Kind;
import frostrelay.stragglers.Stragglers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Faults put into a balancer's account of itself, by which checkers are proved: each has to be
 * found.
 */
public enum Defect {
    LATE_STAMP("A change of list or configuration is entered 1.5 s after it was acted on.") {
        @Override
        Recorder into(Recorder inner) {
            return new LateStamp(inner);
        }
    },
    LOST_ENTRIES("One second in four is missing, and no gap says so.") {
        @Override
        Recorder into(Recorder inner) {
            return entry -> {
                if (entry.at() / 1_000_000_000L % 4 != 2
                        || !(entry instanceof Entry.Sent || entry instanceof Entry.Counts)) {
                    inner.append(entry);
                }
            };
        }
    },
    WRONG_INCARNATION("The start is entered under the incarnation of another life.") {
        @Override
        Recorder into(Recorder inner) {
            return entry ->
                    inner.append(
                            entry instanceof Entry.Start one
                                    ? new Entry.Start(
                                            one.at(),
                                            one.name(),
                                            one.rank(),
                                            one.incarnation() - (5_000L << 7),
                                            one.build(),
                                            one.wallMs())
                                    : entry);
        }
    },
    WRONG_CACHE("Sends are entered for the cache with the next number.") {
        @Override
        Recorder into(Recorder inner) {
            return entry ->
                    inner.append(
                            entry instanceof Entry.Sent one
                                    ? new Entry.Sent(
                                            one.at(),
                                            one.sequence(),
                                            one.cache() % 5 + 1,
                                            one.attempt(),
                                            one.id())
                                    : entry);
        }
    },
    OLD_LIST("The version of the list is entered as the one before.") {
        @Override
        Recorder into(Recorder inner) {
            return entry ->
                    inner.append(
                            entry instanceof Entry.Acts one && one.stamp().listRev() > 1
                                    ? new Entry.Acts(
                                            one.at(),
                                            one.sequence(),
                                            one.cause(),
                                            one.wallMs(),
                                            new frostrelay.peers.Stamp(
                                                    one.stamp().build(),
                                                    one.stamp().confNumber(),
                                                    one.stamp().confDigest(),
                                                    one.stamp().listRev() - 1,
                                                    one.stamp().listDigest(),
                                                    one.stamp().holds(),
                                                    one.stamp().terms()))
                                    : entry);
        }
    },
    DOUBLE_COUNT("Counts are entered twice.") {
        @Override
        Recorder into(Recorder inner) {
            return entry -> {
                inner.append(entry);
                if (entry instanceof Entry.Counts) {
                    inner.append(entry);
                }
            };
        }
    },
    DEAF_TO_HEARSAY("What others know of caches changes nothing.", Matter.STRAGGLERS) {
        @Override
        Stragglers.Actions into(Stragglers.Actions inner) {
            return new Passing(inner) {
                @Override
                public void avoid(Set<Long> caches) {
                    // Not carried out.
                }
            };
        }
    },
    LATE_HEARSAY(
            "What is avoided is what was to be avoided before the last change.",
            Matter.STRAGGLERS) {
        @Override
        Stragglers.Actions into(Stragglers.Actions inner) {
            return new Passing(inner) {
                private Set<Long> before = Set.of();

                @Override
                public void avoid(Set<Long> caches) {
                    inner.avoid(before);
                    before = caches;
                }
            };
        }
    },
    NEVER_BACK("What was avoided once is avoided for good.", Matter.STRAGGLERS) {
        @Override
        Stragglers.Actions into(Stragglers.Actions inner) {
            return new Passing(inner) {
                private final Set<Long> all = new HashSet<>();

                @Override
                public void avoid(Set<Long> caches) {
                    all.addAll(caches);
                    inner.avoid(Set.copyOf(all));
                }
            };
        }
    },
    AVOIDS_OTHERS("Where one cache is to be avoided, five others are.", Matter.STRAGGLERS) {
        @Override
        Stragglers.Actions into(Stragglers.Actions inner) {
            return new Passing(inner) {
                @Override
                public void avoid(Set<Long> caches) {
                    inner.avoid(caches.isEmpty() ? caches : others(caches));
                }
            };
        }
    },
    ASIDE_WITHOUT_PLACE("It steps aside at any hearsay, whatever its number.", Matter.STRAGGLERS) {
        @Override
        Stragglers.Actions into(Stragglers.Actions inner) {
            return new Passing(inner) {
                @Override
                public void avoid(Set<Long> caches) {
                    inner.avoid(caches);
                    inner.aside(!caches.isEmpty(), "a defect");
                }
            };
        }
    },
    NEVER_FETCHES(
            "A configuration that only others have is never asked of them.", Matter.STRAGGLERS) {
        @Override
        Stragglers.Actions into(Stragglers.Actions inner) {
            return new Passing(inner) {
                @Override
                public void fetch(long digest, List<Integer> holders) {
                    // Not carried out.
                }
            };
        }
    },
    FOLLOWS_HARM("A version under which others fail is followed all the same.", Matter.STRAGGLERS) {
        @Override
        Stragglers.Actions into(Stragglers.Actions inner) {
            return new Passing(inner) {
                @Override
                public void stays(Kind kind, long number, String why) {
                    inner.reread();
                }
            };
        }
    },
    LOWERS_NOTHING("What others find bad changes nothing.", Matter.JUDGEMENTS) {
        @Override
        Judgements.Actions into(Judgements.Actions inner) {
            return new Judged(inner) {
                @Override
                public void lower(Set<Long> caches) {
                    // Not carried out.
                }
            };
        }
    },
    LOWERS_LATE(
            "What is lowered is what was to be lowered before the last change.",
            Matter.JUDGEMENTS) {
        @Override
        Judgements.Actions into(Judgements.Actions inner) {
            return new Judged(inner) {
                private Set<Long> before = Set.of();

                @Override
                public void lower(Set<Long> caches) {
                    inner.lower(before);
                    before = caches;
                }
            };
        }
    },
    NEVER_RAISED("What was lowered once is lowered for good.", Matter.JUDGEMENTS) {
        @Override
        Judgements.Actions into(Judgements.Actions inner) {
            return new Judged(inner) {
                private final Set<Long> all = new HashSet<>();

                @Override
                public void lower(Set<Long> caches) {
                    all.addAll(caches);
                    inner.lower(Set.copyOf(all));
                }
            };
        }
    },
    LOWERS_OTHERS("Where one cache is to be lowered, the others are.", Matter.JUDGEMENTS) {
        @Override
        Judgements.Actions into(Judgements.Actions inner) {
            return new Judged(inner) {
                @Override
                public void lower(Set<Long> caches) {
                    inner.lower(caches.isEmpty() ? caches : others(caches));
                }
            };
        }
    },
    LOWERS_ALL("Where one cache is to be lowered, all are.", Matter.JUDGEMENTS) {
        @Override
        Judgements.Actions into(Judgements.Actions inner) {
            return new Judged(inner) {
                @Override
                public void lower(Set<Long> caches) {
                    Set<Long> all = others(caches);
                    all.addAll(caches);
                    inner.lower(caches.isEmpty() ? caches : all);
                }
            };
        }
    },
    COUNTS_TWICE("Sums have what the others said twice.", Matter.JUDGEMENTS) {
        @Override
        Seams.Sums into(Seams.Sums inner) {
            return (now, one) -> {
                Sum sum = inner.sum(now, one);
                return new Sum(
                        2 * sum.known(),
                        2 * sum.most(),
                        sum.rate(),
                        sum.covered(),
                        sum.of(),
                        sum.oldest());
            };
        }
    },
    COUNTS_SILENCE_AS_NOTHING(
            "Sums are at most what is known: who was not heard did nothing.", Matter.JUDGEMENTS) {
        @Override
        Seams.Sums into(Seams.Sums inner) {
            return (now, one) -> {
                Sum sum = inner.sum(now, one);
                return new Sum(sum.known(), sum.known(), sum.rate(), sum.covered(), sum.of(), 0);
            };
        }
    },
    COUNTS_ALL_AS_COVERED("Sums claim to cover all that are there.", Matter.JUDGEMENTS) {
        @Override
        Seams.Sums into(Seams.Sums inner) {
            return (now, one) -> {
                Sum sum = inner.sum(now, one);
                return new Sum(sum.known(), sum.most(), sum.rate(), sum.of(), sum.of(), 0);
            };
        }
    },
    COUNTS_LATE(
            "Sums are those of four seconds ago, and say that they are fresh.", Matter.JUDGEMENTS) {
        @Override
        Seams.Sums into(Seams.Sums inner) {
            return new LateSums(inner);
        }
    },
    SKIPPED_STAMP(
            "Every other change is not entered, and what was done under it goes by the one before.") {
        @Override
        Recorder into(Recorder inner) {
            return new SkippedStamp(inner);
        }
    };

    /** What it does. */
    public final String meaning;

    /** Which campaign has to find it. */
    public final Matter matter;

    Defect(String meaning) {
        this(meaning, Matter.AUDIT);
    }

    Defect(String meaning, Matter matter) {
        this.meaning = meaning;
        this.matter = matter;
    }

    Recorder into(Recorder inner) {
        return inner;
    }

    Stragglers.Actions into(Stragglers.Actions inner) {
        return inner;
    }

    Judgements.Actions into(Judgements.Actions inner) {
        return inner;
    }

    Seams.Sums into(Seams.Sums inner) {
        return inner;
    }

    /** As the command line names it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** All words. */
    public static List<String> words() {
        return Arrays.stream(values()).map(Defect::word).toList();
    }

    /** The words of those that campaigns of a matter have to find. */
    public static List<String> of(Matter matter) {
        return Arrays.stream(values())
                .filter(one -> one.matter == matter)
                .map(Defect::word)
                .toList();
    }

    static Defect of(String word) {
        return valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private static Entry under(Entry entry, int sequence) {
        if (entry instanceof Entry.Sent one) {
            return new Entry.Sent(one.at(), sequence, one.cache(), one.attempt(), one.id());
        }
        if (entry instanceof Entry.Counts one) {
            return new Entry.Counts(
                    one.at(),
                    sequence,
                    one.copies(),
                    one.refused(),
                    one.failed(),
                    one.caches(),
                    one.sends());
        }
        return entry;
    }

    /** Those of a campaign's six caches that are not among these. */
    private static Set<Long> others(Set<Long> caches) {
        Set<Long> others = new HashSet<>();
        for (int i = 1; i <= 6; i++) {
            others.add(fnv("cache-" + i));
        }
        others.removeAll(caches);
        return others;
    }

    /** FNV-1a, by which balancers number caches. */
    private static long fnv(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return hash;
    }

    /** Carries everything out as it should be. */
    private static class Passing implements Stragglers.Actions {
        private final Stragglers.Actions inner;

        Passing(Stragglers.Actions inner) {
            this.inner = inner;
        }

        @Override
        public void ask() {
            inner.ask();
        }

        @Override
        public void reread() {
            inner.reread();
        }

        @Override
        public void avoid(Set<Long> caches) {
            inner.avoid(caches);
        }

        @Override
        public void aside(boolean on, String why) {
            inner.aside(on, why);
        }

        @Override
        public void fetch(long digest, List<Integer> holders) {
            inner.fetch(digest, holders);
        }

        @Override
        public void says() {
            inner.says();
        }

        @Override
        public void stays(Kind kind, long number, String why) {
            inner.stays(kind, number, why);
        }

        @Override
        public void tell(String what) {
            inner.tell(what);
        }
    }

    /** Each sum as it was at the last look four seconds and more ago. */
    private static final class LateSums implements Seams.Sums {
        private static final long LATE = 4_000_000_000L;
        private final Seams.Sums inner;
        private final Map<Count, ArrayDeque<Map.Entry<Long, Sum>>> kept =
                new EnumMap<>(Count.class);

        LateSums(Seams.Sums inner) {
            this.inner = inner;
        }

        @Override
        public Sum sum(long now, Count one) {
            ArrayDeque<Map.Entry<Long, Sum>> all =
                    kept.computeIfAbsent(one, none -> new ArrayDeque<>());
            Sum sum = inner.sum(now, one);
            all.addLast(Map.entry(now, sum));
            while (all.size() > 1 && now - all.peekFirst().getKey() > LATE) {
                sum = all.pollFirst().getValue();
            }
            return sum;
        }
    }

    /** Likewise for what judgements lead to. */
    private static class Judged implements Judgements.Actions {
        private final Judgements.Actions inner;

        Judged(Judgements.Actions inner) {
            this.inner = inner;
        }

        @Override
        public void lower(Set<Long> caches) {
            inner.lower(caches);
        }

        @Override
        public void changed() {
            inner.changed();
        }

        @Override
        public boolean post(int to, int type, ByteBuffer section) {
            return inner.post(to, type, section);
        }

        @Override
        public void findsBad(long cache) {
            inner.findsBad(cache);
        }
    }

    private static final class LateStamp implements Recorder {
        private static final long LATE = 1_500_000_000L;
        private final Recorder inner;
        private Entry.Acts held;
        private int entered;

        LateStamp(Recorder inner) {
            this.inner = inner;
        }

        @Override
        public void append(Entry entry) {
            if (held != null && entry.at() - held.at() >= LATE) {
                inner.append(
                        new Entry.Acts(
                                entry.at(),
                                held.sequence(),
                                held.cause(),
                                held.wallMs(),
                                held.stamp()));
                entered = held.sequence();
                held = null;
            }
            if (entry instanceof Entry.Acts one && one.sequence() > 1) {
                if (held != null) {
                    inner.append(
                            new Entry.Acts(
                                    entry.at(),
                                    held.sequence(),
                                    held.cause(),
                                    held.wallMs(),
                                    held.stamp()));
                    entered = held.sequence();
                }
                held = one;
            } else {
                entered = entry instanceof Entry.Acts one ? one.sequence() : entered;
                inner.append(held == null ? entry : under(entry, entered));
            }
        }
    }

    private static final class SkippedStamp implements Recorder {
        private final Recorder inner;
        private int entered;
        private boolean skip;

        SkippedStamp(Recorder inner) {
            this.inner = inner;
        }

        @Override
        public void append(Entry entry) {
            if (entry instanceof Entry.Acts one && one.sequence() > 1) {
                skip = !skip;
                if (skip) {
                    return;
                }
                entered++;
                inner.append(
                        new Entry.Acts(one.at(), entered, one.cause(), one.wallMs(), one.stamp()));
            } else {
                entered = entry instanceof Entry.Acts one ? one.sequence() : entered;
                inner.append(under(entry, entered));
            }
        }
    }
}
