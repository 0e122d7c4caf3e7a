package frostrelay.emulator;

/** Something that happens at a moment of simulated time. */
interface Event {
    /** {@code now}: nanoseconds from the day's start. */
    void run(long now);
}
