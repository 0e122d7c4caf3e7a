/**
 * Approximate counting of frequently read keys in bounded memory.
 *
 * <p>{@link frostrelay.policy.hotkeys.HotKeys} is used by the decision module, which decides what
 * follows from a key's fraction of the traffic. No I/O, no clock; an instance is confined to one
 * thread.
 */
package frostrelay.policy.hotkeys;
