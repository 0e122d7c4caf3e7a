/**
 * Approximate counting of frequently read keys in bounded memory.
 *
 * <p>The decision module uses {@link frostrelay.policy.hotkeys.HotKeys} to spread a hot key over
 * more servers. The package does no I/O and reads no clock; an instance is confined to one thread.
 */
package frostrelay.policy.hotkeys;
