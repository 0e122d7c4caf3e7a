/**
 * Queries over the audit records of several balancers. {@link
 * frostrelay.audit.fleet.IncarnationHistory} joins the parts of one record, {@link
 * frostrelay.audit.fleet.ClockAlignment} places all incarnations on one time line, and {@link
 * frostrelay.audit.fleet.FleetAudit} answers the queries of {@code frostrelay audit}.
 *
 * <p>Invariants: a time is an interval, and an order of two events is stated only where their
 * intervals do not overlap; missing entries are reported, never interpolated. Everything is
 * computed from the records given, without I/O; nothing is thread-safe.
 */
package frostrelay.audit.fleet;
