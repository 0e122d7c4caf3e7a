package frostrelay.counters;

/**
 * An estimate of one counter over the whole cluster.
 *
 * @param known sum of the covered balancers' latest values, each since its own start; a lower bound
 * @param upperBound largest count that all living balancers can have reached, assuming that none
 *     has exceeded {@link ClusterCounterSettings#maxRateGrowth} times its peak rate since its last
 *     section; infinite if one of them has not sent any section yet
 * @param ratePerSecond rate of the whole cluster; a balancer that is not covered counts with the
 *     mean rate of those that are
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
