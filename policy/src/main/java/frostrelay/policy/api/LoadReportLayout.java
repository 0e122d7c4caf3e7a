package frostrelay.policy.api;

/**
 * Indexes of the values in a load report, -1 for a value that is not reported.
 *
 * @param inFlight index of the server's number of requests in flight
 * @param queue index of its queue length
 * @param utilization index of its utilization, from 0 (idle) to 1 (busy)
 */
public record LoadReportLayout(int inFlight, int queue, int utilization) {}
