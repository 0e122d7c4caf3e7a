package frostrelay.gossip;

/**
 * The local health multiplier of Lifeguard: a process that shows signs of being slow waits longer
 * before it retries a probe or declares a member dead.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 4;

    private int score;

    /** Records a sign that this process is slow or isolated. */
    void degrade() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** Records an answered probe. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    /** Returns the factor to apply to timeouts; 1 while this process is healthy. */
    int timeoutMultiplier() {
        return 1 + score;
    }
}
