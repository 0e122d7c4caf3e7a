package frostrelay.counters;

/**
 * What is known of one count over the tier, and how well.
 *
 * @param known what those covered had done at the least, each in its present life as far as it is
 *     known
 * @param upperBound what all that are there can have done at the most by now, if none has
 *     quadrupled its pace since it was heard; infinite where of one of them nothing was ever heard
 * @param ratePerSecond of the whole tier a second, with what is missing taken to be as the mean of
 *     what is covered
 * @param coveredMembers balancers heard of lately, this one included
 * @param aliveMembers balancers that are there as far as is known
 * @param oldestAgeNanos age of the oldest word among the covered, nanoseconds
 */
public record CounterTotal(
        long known,
        double upperBound,
        double ratePerSecond,
        int coveredMembers,
        int aliveMembers,
        long oldestAgeNanos) {}
