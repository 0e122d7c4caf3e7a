package frostrelay.policy.api;

/** Where the values of a load report stand, -1 if absent. */
public record LoadReportLayout(int inFlight, int queue, int utilization) {}
