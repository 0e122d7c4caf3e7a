/**
 * The audit record of one incarnation of a balancer: the versions that it acted on and when, its
 * sends under each of them, and the reports that it received from its peers.
 *
 * <p>{@link frostrelay.audit.AuditLog} turns events of a balancer into {@link
 * frostrelay.audit.Entry}s and passes them to a {@link frostrelay.audit.Recorder}: in memory {@link
 * frostrelay.audit.EntryRingBuffer}, on disk {@code frostrelay.audit.store.RecordFolder}. {@link
 * frostrelay.audit.Codec} is the format of both.
 *
 * <p>Invariants: entries of types or forms that a build does not know are skipped; a truncated or
 * damaged tail ends the reading and is counted; lost entries are reported by a {@link
 * frostrelay.audit.Entry.Gap}; recording a send allocates nothing unless sends are recorded one by
 * one.
 *
 * <p>Nothing here does I/O, reads a clock or is thread-safe: a balancer calls it from its event
 * loop, with times in nanoseconds of its monotonic clock.
 */
package frostrelay.audit;
