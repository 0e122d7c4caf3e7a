/**
 * Audit records on disk. {@link frostrelay.audit.store.RecordFolder} appends entries to files on a
 * dedicated thread, as an event loop must not wait for a disk; {@link
 * frostrelay.audit.store.CollectedRecords} reads the files of any number of incarnations.
 *
 * <p>Invariants: the files of a folder stay within a size limit, and the oldest are deleted first;
 * each file can be read on its own, as it repeats the entries that its other entries refer to; if a
 * disk rejects writes, entries are lost and reported as a gap, and the balancer continues to serve.
 */
package frostrelay.audit.store;
