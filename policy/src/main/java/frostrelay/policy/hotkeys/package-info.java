/** Approximate counting of frequently read keys in bounded memory. */
package frostrelay.policy.hotkeys;
