package frostrelay.emulator;

/** An action at a point in simulated time. */
interface Event {
    /** Runs the event; {@code now} is in nanoseconds since the start of the run. */
    void run(long now);
}
