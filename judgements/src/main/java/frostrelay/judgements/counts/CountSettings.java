package frostrelay.judgements.counts;

/**
 * Bounds, each with its reason; nanoseconds, a second, and parts of 1.
 *
 * @param again one peer is told no sooner again
 * @param silent who was told so long ago may be told straight
 * @param few others of a tier that is small
 * @param postsOfFew so many are told straight a second in one
 * @param posts and in one that is not
 * @param window a rate is taken over so long at least
 * @param fresh a writer's rate counts in full for so long behind its last word
 * @param forget and slides to nothing by then
 * @param leap no balancer does more than this times what it was seen to do at its fastest
 * @param least and each is taken to do so much a second at its fastest
 * @param most what claims more a second is passed over
 */
public record CountSettings(
        long again,
        long silent,
        int few,
        int postsOfFew,
        int posts,
        long window,
        long fresh,
        long forget,
        double leap,
        double least,
        double most) {
    private static final long MILLISECOND = 1_000_000L;

    /**
     * Again: four times a second to one peer is as often as anybody decides by it. Silent, few,
     * posts: in a small tier all hear within a second or two; in a large one two datagrams of 80
     * bytes a second are 0.0006 of what service is worth. Window: a second of ten requests has a
     * third of chance in it, but a longer one is late. Fresh: a small tier's probes come round in
     * three. Forget: as judgements. Leap: days have bursts of half as much again, and a tier that
     * loses half doubles what is left; four leaves room for both. Least: a balancer that has just
     * begun was seen to do nothing. Most: a core does ten thousand requests a second.
     */
    public static final CountSettings STANDARD =
            new CountSettings(
                    250 * MILLISECOND,
                    800 * MILLISECOND,
                    16,
                    4,
                    2,
                    1_000 * MILLISECOND,
                    3_000 * MILLISECOND,
                    10_000 * MILLISECOND,
                    4,
                    50,
                    50_000);
}
