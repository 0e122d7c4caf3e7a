/**
 * Audit records on disk. {@link frostrelay.audit.store.RecordFolder} appends entries to files on a
 * thread of its own, as an event loop must not wait for a disk; {@link
 * frostrelay.audit.store.CollectedRecords} reads the files of any number of incarnations.
 *
 * <p>Invariants: the files of a folder stay within a bound, and the oldest are deleted first; each
 * file can be read by itself, as it repeats what its entries refer to; a disk that rejects writes
 * costs entries, which are named as a gap, and never service.
 */
package frostrelay.audit.store;
