package frostrelay.defects;

import frostrelay.audit.Entry;
import frostrelay.audit.Recorder;
import frostrelay.counters.ClusterCounter;
import frostrelay.counters.CounterTotal;
import frostrelay.healthreports.HealthReportAggregator;
import frostrelay.node.cluster.TestHooks;
import frostrelay.staleness.StalenessDetector;
import frostrelay.staleness.VersionKind;
import frostrelay.testbed.campaign.CampaignSubject;

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
public enum SeededDefect {
    LATE_STAMP("A change of list or configuration is entered 1.5 s after it was acted on.") {
        @Override
        Recorder wrap(Recorder inner) {
            return new DelayedVersionRecorder(inner);
        }
    },
    LOST_ENTRIES("One second in four is missing, and no gap says so.") {
        @Override
        Recorder wrap(Recorder inner) {
            return entry -> {
                if (entry.atNanos() / 1_000_000_000L % 4 != 2
                        || !(entry instanceof Entry.AttemptSent
                                || entry instanceof Entry.SendCounts)) {
                    inner.append(entry);
                }
            };
        }
    },
    WRONG_INCARNATION("The start is entered under the incarnation of another life.") {
        @Override
        Recorder wrap(Recorder inner) {
            return entry ->
                    inner.append(
                            entry instanceof Entry.Started one
                                    ? new Entry.Started(
                                            one.atNanos(),
                                            one.name(),
                                            one.rank(),
                                            one.incarnation() - (5_000L << 7),
                                            one.build(),
                                            one.wallMillis())
                                    : entry);
        }
    },
    WRONG_CACHE("Sends are entered for the cache with the next number.") {
        @Override
        Recorder wrap(Recorder inner) {
            return entry ->
                    inner.append(
                            entry instanceof Entry.AttemptSent one
                                    ? new Entry.AttemptSent(
                                            one.atNanos(),
                                            one.sequence(),
                                            one.cache() % 5 + 1,
                                            one.attempt(),
                                            one.requestId())
                                    : entry);
        }
    },
    OLD_LIST("The version of the list is entered as the one before.") {
        @Override
        Recorder wrap(Recorder inner) {
            return entry ->
                    inner.append(
                            entry instanceof Entry.VersionsApplied one
                                            && one.versions().listRevision() > 1
                                    ? new Entry.VersionsApplied(
                                            one.atNanos(),
                                            one.sequence(),
                                            one.cause(),
                                            one.wallMillis(),
                                            new frostrelay.gossip.AppliedVersions(
                                                    one.versions().buildDigest(),
                                                    one.versions().configNumber(),
                                                    one.versions().configDigest(),
                                                    one.versions().listRevision() - 1,
                                                    one.versions().listDigest(),
                                                    one.versions().adminDrainsDigest(),
                                                    one.versions().termsDigest()))
                                    : entry);
        }
    },
    DOUBLE_COUNT("Counts are entered twice.") {
        @Override
        Recorder wrap(Recorder inner) {
            return entry -> {
                inner.append(entry);
                if (entry instanceof Entry.SendCounts) {
                    inner.append(entry);
                }
            };
        }
    },
    DEAF_TO_HEARSAY("What others know of caches changes nothing.", CampaignSubject.STRAGGLERS) {
        @Override
        StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
            return new ForwardingStalenessActions(inner) {
                @Override
                public void avoidCaches(Set<Long> caches) {
                    // Not carried out.
                }
            };
        }
    },
    LATE_HEARSAY(
            "What is avoided is what was to be avoided before the last change.",
            CampaignSubject.STRAGGLERS) {
        @Override
        StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
            return new ForwardingStalenessActions(inner) {
                private Set<Long> before = Set.of();

                @Override
                public void avoidCaches(Set<Long> caches) {
                    inner.avoidCaches(before);
                    before = caches;
                }
            };
        }
    },
    NEVER_BACK("What was avoided once is avoided for good.", CampaignSubject.STRAGGLERS) {
        @Override
        StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
            return new ForwardingStalenessActions(inner) {
                private final Set<Long> all = new HashSet<>();

                @Override
                public void avoidCaches(Set<Long> caches) {
                    all.addAll(caches);
                    inner.avoidCaches(Set.copyOf(all));
                }
            };
        }
    },
    AVOIDS_OTHERS(
            "Where one cache is to be avoided, five others are.", CampaignSubject.STRAGGLERS) {
        @Override
        StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
            return new ForwardingStalenessActions(inner) {
                @Override
                public void avoidCaches(Set<Long> caches) {
                    inner.avoidCaches(caches.isEmpty() ? caches : otherCaches(caches));
                }
            };
        }
    },
    ASIDE_WITHOUT_PLACE(
            "It steps aside at any hearsay, whatever its number.", CampaignSubject.STRAGGLERS) {
        @Override
        StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
            return new ForwardingStalenessActions(inner) {
                @Override
                public void avoidCaches(Set<Long> caches) {
                    inner.avoidCaches(caches);
                    inner.setSelfDraining(!caches.isEmpty(), "a defect");
                }
            };
        }
    },
    NEVER_FETCHES(
            "A configuration that only others have is never asked of them.",
            CampaignSubject.STRAGGLERS) {
        @Override
        StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
            return new ForwardingStalenessActions(inner) {
                @Override
                public void fetchConfig(long digest, List<Integer> holders) {
                    // Not carried out.
                }
            };
        }
    },
    FOLLOWS_HARM(
            "A version under which others fail is followed all the same.",
            CampaignSubject.STRAGGLERS) {
        @Override
        StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
            return new ForwardingStalenessActions(inner) {
                @Override
                public void onVersionNotFollowed(VersionKind kind, long number, String why) {
                    inner.rereadConfig();
                }
            };
        }
    },
    LOWERS_NOTHING("What others find bad changes nothing.", CampaignSubject.JUDGEMENTS) {
        @Override
        HealthReportAggregator.Actions wrap(HealthReportAggregator.Actions inner) {
            return new ForwardingHealthReportActions(inner) {
                @Override
                public void setOutliers(Set<Long> caches) {
                    // Not carried out.
                }
            };
        }
    },
    LOWERS_LATE(
            "What is lowered is what was to be lowered before the last change.",
            CampaignSubject.JUDGEMENTS) {
        @Override
        HealthReportAggregator.Actions wrap(HealthReportAggregator.Actions inner) {
            return new ForwardingHealthReportActions(inner) {
                private Set<Long> before = Set.of();

                @Override
                public void setOutliers(Set<Long> caches) {
                    inner.setOutliers(before);
                    before = caches;
                }
            };
        }
    },
    NEVER_RAISED("What was lowered once is lowered for good.", CampaignSubject.JUDGEMENTS) {
        @Override
        HealthReportAggregator.Actions wrap(HealthReportAggregator.Actions inner) {
            return new ForwardingHealthReportActions(inner) {
                private final Set<Long> all = new HashSet<>();

                @Override
                public void setOutliers(Set<Long> caches) {
                    all.addAll(caches);
                    inner.setOutliers(Set.copyOf(all));
                }
            };
        }
    },
    LOWERS_OTHERS("Where one cache is to be lowered, the others are.", CampaignSubject.JUDGEMENTS) {
        @Override
        HealthReportAggregator.Actions wrap(HealthReportAggregator.Actions inner) {
            return new ForwardingHealthReportActions(inner) {
                @Override
                public void setOutliers(Set<Long> caches) {
                    inner.setOutliers(caches.isEmpty() ? caches : otherCaches(caches));
                }
            };
        }
    },
    LOWERS_ALL("Where one cache is to be lowered, all are.", CampaignSubject.JUDGEMENTS) {
        @Override
        HealthReportAggregator.Actions wrap(HealthReportAggregator.Actions inner) {
            return new ForwardingHealthReportActions(inner) {
                @Override
                public void setOutliers(Set<Long> caches) {
                    Set<Long> all = otherCaches(caches);
                    all.addAll(caches);
                    inner.setOutliers(caches.isEmpty() ? caches : all);
                }
            };
        }
    },
    COUNTS_TWICE("Sums have what the others said twice.", CampaignSubject.JUDGEMENTS) {
        @Override
        TestHooks.CounterTotals wrap(TestHooks.CounterTotals inner) {
            return (now, one) -> {
                CounterTotal sum = inner.total(now, one);
                return new CounterTotal(
                        2 * sum.known(),
                        2 * sum.upperBound(),
                        sum.ratePerSecond(),
                        sum.coveredMembers(),
                        sum.aliveMembers(),
                        sum.oldestAgeNanos());
            };
        }
    },
    COUNTS_SILENCE_AS_NOTHING(
            "Sums are at most what is known: who was not heard did nothing.",
            CampaignSubject.JUDGEMENTS) {
        @Override
        TestHooks.CounterTotals wrap(TestHooks.CounterTotals inner) {
            return (now, one) -> {
                CounterTotal sum = inner.total(now, one);
                return new CounterTotal(
                        sum.known(),
                        sum.known(),
                        sum.ratePerSecond(),
                        sum.coveredMembers(),
                        sum.aliveMembers(),
                        0);
            };
        }
    },
    COUNTS_ALL_AS_COVERED("Sums claim to cover all that are there.", CampaignSubject.JUDGEMENTS) {
        @Override
        TestHooks.CounterTotals wrap(TestHooks.CounterTotals inner) {
            return (now, one) -> {
                CounterTotal sum = inner.total(now, one);
                return new CounterTotal(
                        sum.known(),
                        sum.upperBound(),
                        sum.ratePerSecond(),
                        sum.aliveMembers(),
                        sum.aliveMembers(),
                        0);
            };
        }
    },
    COUNTS_LATE(
            "Sums are those of four seconds ago, and say that they are fresh.",
            CampaignSubject.JUDGEMENTS) {
        @Override
        TestHooks.CounterTotals wrap(TestHooks.CounterTotals inner) {
            return new DelayedTotals(inner);
        }
    },
    SKIPPED_STAMP(
            "Every other change is not entered, and what was done under it goes by the one before.") {
        @Override
        Recorder wrap(Recorder inner) {
            return new SkippedVersionRecorder(inner);
        }
    };

    /** What it does. */
    public final String meaning;

    /** Which campaign has to find it. */
    public final CampaignSubject subject;

    SeededDefect(String meaning) {
        this(meaning, CampaignSubject.AUDIT);
    }

    SeededDefect(String meaning, CampaignSubject subject) {
        this.meaning = meaning;
        this.subject = subject;
    }

    Recorder wrap(Recorder inner) {
        return inner;
    }

    StalenessDetector.Actions wrap(StalenessDetector.Actions inner) {
        return inner;
    }

    HealthReportAggregator.Actions wrap(HealthReportAggregator.Actions inner) {
        return inner;
    }

    TestHooks.CounterTotals wrap(TestHooks.CounterTotals inner) {
        return inner;
    }

    /** As the command line names it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** All words. */
    public static List<String> labels() {
        return Arrays.stream(values()).map(SeededDefect::label).toList();
    }

    /** The words of those that campaigns of a matter have to find. */
    public static List<String> of(CampaignSubject subject) {
        return Arrays.stream(values())
                .filter(one -> one.subject == subject)
                .map(SeededDefect::label)
                .toList();
    }

    static SeededDefect of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    private static Entry withSequence(Entry entry, int sequence) {
        if (entry instanceof Entry.AttemptSent one) {
            return new Entry.AttemptSent(
                    one.atNanos(), sequence, one.cache(), one.attempt(), one.requestId());
        }
        if (entry instanceof Entry.SendCounts one) {
            return new Entry.SendCounts(
                    one.atNanos(),
                    sequence,
                    one.hedgedRequests(),
                    one.rejectedRequests(),
                    one.failedRequests(),
                    one.caches(),
                    one.sends());
        }
        return entry;
    }

    /** Those of a campaign's six caches that are not among these. */
    private static Set<Long> otherCaches(Set<Long> caches) {
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
    private static class ForwardingStalenessActions implements StalenessDetector.Actions {
        private final StalenessDetector.Actions inner;

        ForwardingStalenessActions(StalenessDetector.Actions inner) {
            this.inner = inner;
        }

        @Override
        public void pollEndpointList() {
            inner.pollEndpointList();
        }

        @Override
        public void rereadConfig() {
            inner.rereadConfig();
        }

        @Override
        public void avoidCaches(Set<Long> caches) {
            inner.avoidCaches(caches);
        }

        @Override
        public void setSelfDraining(boolean on, String why) {
            inner.setSelfDraining(on, why);
        }

        @Override
        public void fetchConfig(long digest, List<Integer> holders) {
            inner.fetchConfig(digest, holders);
        }

        @Override
        public void announceFailingVersions() {
            inner.announceFailingVersions();
        }

        @Override
        public void onVersionNotFollowed(VersionKind kind, long number, String why) {
            inner.onVersionNotFollowed(kind, number, why);
        }

        @Override
        public void notifyOperators(String what) {
            inner.notifyOperators(what);
        }
    }

    /** Each sum as it was at the last look four seconds and more ago. */
    private static final class DelayedTotals implements TestHooks.CounterTotals {
        private static final long DELAY_NANOS = 4_000_000_000L;
        private final TestHooks.CounterTotals inner;
        private final Map<ClusterCounter, ArrayDeque<Map.Entry<Long, CounterTotal>>> history =
                new EnumMap<>(ClusterCounter.class);

        DelayedTotals(TestHooks.CounterTotals inner) {
            this.inner = inner;
        }

        @Override
        public CounterTotal total(long now, ClusterCounter counter) {
            ArrayDeque<Map.Entry<Long, CounterTotal>> samples =
                    history.computeIfAbsent(counter, none -> new ArrayDeque<>());
            CounterTotal total = inner.total(now, counter);
            samples.addLast(Map.entry(now, total));
            while (samples.size() > 1 && now - samples.peekFirst().getKey() > DELAY_NANOS) {
                total = samples.pollFirst().getValue();
            }
            return total;
        }
    }

    /** Likewise for what judgements lead to. */
    private static class ForwardingHealthReportActions implements HealthReportAggregator.Actions {
        private final HealthReportAggregator.Actions inner;

        ForwardingHealthReportActions(HealthReportAggregator.Actions inner) {
            this.inner = inner;
        }

        @Override
        public void setOutliers(Set<Long> caches) {
            inner.setOutliers(caches);
        }

        @Override
        public void onReportsPending() {
            inner.onReportsPending();
        }

        @Override
        public boolean sendSection(int to, int type, ByteBuffer section) {
            return inner.sendSection(to, type, section);
        }

        @Override
        public void onLocallyUnhealthy(long cache) {
            inner.onLocallyUnhealthy(cache);
        }
    }

    private static final class DelayedVersionRecorder implements Recorder {
        private static final long DELAY_NANOS = 1_500_000_000L;
        private final Recorder inner;
        private Entry.VersionsApplied delayed;
        private int recordedSequence;

        DelayedVersionRecorder(Recorder inner) {
            this.inner = inner;
        }

        @Override
        public void append(Entry entry) {
            if (delayed != null && entry.atNanos() - delayed.atNanos() >= DELAY_NANOS) {
                inner.append(
                        new Entry.VersionsApplied(
                                entry.atNanos(),
                                delayed.sequence(),
                                delayed.cause(),
                                delayed.wallMillis(),
                                delayed.versions()));
                recordedSequence = delayed.sequence();
                delayed = null;
            }
            if (entry instanceof Entry.VersionsApplied one && one.sequence() > 1) {
                if (delayed != null) {
                    inner.append(
                            new Entry.VersionsApplied(
                                    entry.atNanos(),
                                    delayed.sequence(),
                                    delayed.cause(),
                                    delayed.wallMillis(),
                                    delayed.versions()));
                    recordedSequence = delayed.sequence();
                }
                delayed = one;
            } else {
                recordedSequence =
                        entry instanceof Entry.VersionsApplied one
                                ? one.sequence()
                                : recordedSequence;
                inner.append(delayed == null ? entry : withSequence(entry, recordedSequence));
            }
        }
    }

    private static final class SkippedVersionRecorder implements Recorder {
        private final Recorder inner;
        private int recordedSequence;
        private boolean skipping;

        SkippedVersionRecorder(Recorder inner) {
            this.inner = inner;
        }

        @Override
        public void append(Entry entry) {
            if (entry instanceof Entry.VersionsApplied one && one.sequence() > 1) {
                skipping = !skipping;
                if (skipping) {
                    return;
                }
                recordedSequence++;
                inner.append(
                        new Entry.VersionsApplied(
                                one.atNanos(),
                                recordedSequence,
                                one.cause(),
                                one.wallMillis(),
                                one.versions()));
            } else {
                recordedSequence =
                        entry instanceof Entry.VersionsApplied one
                                ? one.sequence()
                                : recordedSequence;
                inner.append(withSequence(entry, recordedSequence));
            }
        }
    }
}
