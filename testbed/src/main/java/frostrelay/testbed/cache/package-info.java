/**
 * A simulated cache server: storage, queueing, deduplication of idempotency keys, slow start and
 * injected faults.
 */
package frostrelay.testbed.cache;
