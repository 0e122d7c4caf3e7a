package frostrelay.emulator;

import frostrelay.policy.api.Idempotency;
import frostrelay.policy.api.Request;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Open-loop clients with time-outs, retries and back-off that connect through a simple front end.
 */
final class SimClients {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_BACKOFF_SHIFT = 10;

    /**
     * Clients do not retry with less time left than this, because no answer could arrive before the
     * deadline.
     */
    private static final long MIN_RETRY_WINDOW_NANOS = 20_000_000L;

    private final SystemModel model;
    private final Timeline timeline;
    private final NetworkDelays networkDelays;
    private final SimFrontend frontend;
    private final RunStatistics statistics;
    private final SimInvariantChecker invariantChecker;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponentialSampler;
    private final SharedStateDiscreteSampler keySampler;
    private final UniformRandomProvider tenantRandom;
    private double rateFactor = 1;
    private double firstTenantFactor = 1;
    private double retryFactor = 1;
    private double impatienceFactor = 1;
    private long openRequests;

    SimClients(
            SystemModel model,
            Timeline timeline,
            NetworkDelays networkDelays,
            List<SimBalancer> balancers,
            RunStatistics statistics,
            SimInvariantChecker invariantChecker) {
        this.invariantChecker = invariantChecker;
        this.model = model;
        this.timeline = timeline;
        this.networkDelays = networkDelays;
        this.frontend = new SimFrontend(model, balancers);
        this.statistics = statistics;
        random = RandomStreams.create(model.seed(), "clients");
        tenantRandom = RandomStreams.create(model.seed(), "tenants");
        exponentialSampler = ZigguratSampler.Exponential.of(random);
        keySampler =
                model.clients().zipfOffset() == 0
                        ? RejectionInversionZipfSampler.of(
                                random, model.clients().keyCount(), model.clients().zipfExponent())
                        : zipfMandelbrotSampler(random, model.clients());
    }

    /** Returns a sampler of the Zipf-Mandelbrot distribution; ranks start at 1. */
    private static SharedStateDiscreteSampler zipfMandelbrotSampler(
            UniformRandomProvider random, SystemModel.Clients clients) {
        double[] weights =
                IntStream.rangeClosed(0, clients.keyCount())
                        .mapToDouble(
                                rank ->
                                        rank == 0
                                                ? 0
                                                : Math.pow(
                                                        rank + clients.zipfOffset(),
                                                        -clients.zipfExponent()))
                        .toArray();
        return AliasMethodDiscreteSampler.of(random, weights);
    }

    void start() {
        scheduleNextArrival(0);
    }

    private void scheduleNextArrival(long now) {
        long arrivalNanos =
                now
                        + (long)
                                (exponentialSampler.sample()
                                        * NANOS_PER_SECOND
                                        / (model.clients().requestsPerSecond()
                                                * rateFactor
                                                * rateFactorAt(now)));
        if (arrivalNanos < model.warmupNanos() + model.durationNanos()) {
            timeline.schedule(
                    arrivalNanos,
                    then -> {
                        new UserRequest(then).sendAttempt(then);
                        scheduleNextArrival(then);
                    });
        }
    }

    /** Returns the periodic factor of the request rate; its mean is 1. */
    private double rateFactorAt(long now) {
        double amplitude = model.clients().rateAmplitude();
        return amplitude == 0
                ? 1
                : 1 + amplitude * Math.sin(2 * Math.PI * now / model.clients().ratePeriodNanos());
    }

    /**
     * Returns a random key. Popularity drifts: ranks move through the keys over time, so the set of
     * popular keys changes.
     */
    private int sampleKey(long now) {
        long rankShift = (long) (model.clients().driftKeysPerSecond() * now / NANOS_PER_SECOND);
        return (int) ((keySampler.sample() - 1 + rankShift) % model.clients().keyCount());
    }

    /** Multiplies the request rate. */
    void setRateFactor(double factor) {
        rateFactor = factor;
    }

    /** Returns the number of client requests without a final answer. */
    long openRequests() {
        return openRequests;
    }

    SimFrontend frontend() {
        return frontend;
    }

    /** Multiplies the request rate of the first tenant. */
    void setFirstTenantFactor(double factor) {
        firstTenantFactor = factor;
    }

    /**
     * Makes clients retry without delay and multiplies their number of retries; 1 restores the
     * back-off.
     */
    void setRetryFactor(double factor) {
        retryFactor = factor;
    }

    /** Divides the clients' time-outs. */
    void setImpatienceFactor(double factor) {
        impatienceFactor = factor;
    }

    private int sampleTenant() {
        List<Double> shares = model.tenantShares();
        if (shares.isEmpty()) {
            return 0;
        }
        double extraShare = shares.get(0) * (firstTenantFactor - 1);
        double remainder = tenantRandom.nextDouble() * (1 + extraShare) - extraShare;
        for (int i = 0; i < shares.size(); i++) {
            remainder -= shares.get(i);
            if (remainder < 0) {
                return i;
            }
        }
        return shares.size() - 1;
    }

    private int requestClassIndex(double draw) {
        double remainder = draw;
        for (int i = 0; i < model.requestClasses().size(); i++) {
            remainder -= model.requestClasses().get(i).fraction();
            if (remainder < 0) {
                return i;
            }
        }
        return model.requestClasses().size() - 1;
    }

    /** A client request with all of its attempts. */
    private final class UserRequest {
        private final long startedAtNanos;
        private final int classIndex;
        private final SystemModel.RequestClass requestClass;
        private final int key;
        private final double workNanos;
        private final int tenant;
        private int attemptCount;
        private int executionCount;

        UserRequest(long startedAtNanos) {
            this.startedAtNanos = startedAtNanos;
            classIndex = requestClassIndex(random.nextDouble());
            requestClass = model.requestClasses().get(classIndex);
            key = sampleKey(startedAtNanos);
            workNanos =
                    requestClass.meanWorkNanos()
                            * (requestClass.workDistribution() == SystemModel.WorkDistribution.FIXED
                                    ? 1
                                    : exponentialSampler.sample());
            tenant = sampleTenant();
            openRequests++;
            statistics.asked(startedAtNanos, classIndex, tenant, requestClass.priorityWeight());
        }

        void sendAttempt(long now) {
            attemptCount++;
            statistics.recordAttempt(startedAtNanos);
            ClientAttempt attempt = new ClientAttempt(this, now);
            timeline.schedule(now + networkDelays.sampleDelayNanos(), then -> attempt.arrive(then));
        }

        void onAttemptCompleted(long now, SimBalancer.Answer answer, long retryAfterNanos) {
            if (answer == SimBalancer.Answer.SERVED) {
                openRequests--;
                statistics.served(
                        startedAtNanos,
                        now - startedAtNanos,
                        now - startedAtNanos <= requestClass.latencyObjectiveNanos(),
                        classIndex,
                        tenant,
                        requestClass.priorityWeight());
                return;
            }
            // An attempt that may have been executed is retried only if a repeat is harmless or is
            // deduplicated by its key.
            boolean isRetryable =
                    answer == SimBalancer.Answer.REJECTED
                            || requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
            long backoffNanos =
                    (long)
                            ((model.clients().initialBackoffNanos()
                                            << Math.min(attemptCount - 1, MAX_BACKOFF_SHIFT))
                                    * (0.5 + random.nextDouble()));
            long delayNanos =
                    retryFactor > 1
                            ? 0
                            : model.clients().honorsRetryAfter()
                                    ? Math.max(retryAfterNanos, backoffNanos)
                                    : backoffNanos;
            if (isRetryable
                    && attemptCount <= model.clients().maxRetries() * retryFactor
                    && now + delayNanos + MIN_RETRY_WINDOW_NANOS
                            < startedAtNanos + requestClass.deadlineNanos()) {
                timeline.schedule(now + delayNanos, this::sendAttempt);
            } else {
                openRequests--;
                statistics.recordFailure(startedAtNanos, answer == SimBalancer.Answer.REJECTED);
            }
        }

        void onExecuted() {
            if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT && ++executionCount > 1) {
                invariantChecker.recordViolation(SimInvariantChecker.Rule.RAN_TWICE);
            }
        }
    }

    private final class ClientAttempt implements SimBalancer.IncomingRequest {
        private final UserRequest userRequest;
        private final long timeoutNanos;
        private SimBalancer balancer;
        private long balancerRequestId;
        private boolean isCompleted;

        /** Timer of the client's time-out. */
        private final long timeoutTimer;

        ClientAttempt(UserRequest userRequest, long now) {
            this.userRequest = userRequest;
            long fullTimeoutNanos =
                    (long)
                            (userRequest.requestClass.deadlineNanos()
                                    * model.clients().timeoutFraction()
                                    / impatienceFactor);
            timeoutNanos =
                    Math.min(
                            fullTimeoutNanos,
                            userRequest.startedAtNanos
                                    + userRequest.requestClass.deadlineNanos()
                                    - now);
            timeoutTimer = timeline.schedule(now + timeoutNanos, this::onTimeout);
        }

        void arrive(long now) {
            if (!isCompleted) {
                balancer = frontend.choose(random);
                balancerRequestId = balancer.acceptRequest(now, this);
            }
        }

        private void onTimeout(long now) {
            if (!isCompleted) {
                isCompleted = true;
                if (balancer != null) {
                    timeline.schedule(
                            now + networkDelays.sampleDelayNanos(),
                            then -> balancer.onClientDisconnect(then, balancerRequestId));
                }
                userRequest.onAttemptCompleted(now, SimBalancer.Answer.FAILED, 0);
            }
        }

        @Override
        public Request createRequest(long requestId, long deadlineNanos) {
            return new Request(
                    requestId,
                    userRequest.classIndex,
                    userRequest.tenant,
                    Long.reverse(userRequest.key + 1L),
                    deadlineNanos,
                    (long) userRequest.workNanos,
                    userRequest.attemptCount > 1,
                    isWrite());
        }

        @Override
        public long timeoutNanos() {
            return timeoutNanos;
        }

        @Override
        public int key() {
            return userRequest.key;
        }

        @Override
        public double workNanos() {
            return userRequest.workNanos;
        }

        @Override
        public boolean isWrite() {
            return userRequest.requestClass.idempotency() != Idempotency.IDEMPOTENT;
        }

        @Override
        public void onExecuted(long now) {
            userRequest.onExecuted();
        }

        @Override
        public void onAnswer(long now, SimBalancer.Answer answer, long retryAfterNanos) {
            if (!isCompleted) {
                isCompleted = true;
                timeline.cancel(timeoutTimer);
                userRequest.onAttemptCompleted(now, answer, retryAfterNanos);
            }
        }
    }
}
