package frostrelay.counters;

/**
 * An estimate of one counter over the whole cluster.
 *
 * @param known sum of the covered balancers' latest values, each since its own start; a lower bound
 * @param upperBound what all living balancers can have counted by now, if none has exceeded {@link
 *     ClusterCounterSettings#maxRateGrowth} times its peak rate since its last section; infinite if
 *     nothing was ever received from one of them
 * @param ratePerSecond of the whole cluster, balancers not covered being taken as the mean of the
 *     covered
 * @param coveredMembers balancers with a recent section, this one included
 * @param aliveMembers living balancers as far as is known, this one included
 * @param oldestAgeNanos age of the oldest section among the covered
 */
public record CounterTotal(
        long known,
        double upperBound,
        double ratePerSecond,
        int coveredMembers,
        int aliveMembers,
        long oldestAgeNanos) {}
