/**
 * The interface of the decision module: events and settings in, actions out, and the values they
 * carry.
 *
 * <p>All types are immutable. Times are nanoseconds of the caller's clock, which never falls;
 * durations are nanoseconds. The module may keep what it is given.
 */
package frostrelay.policy.api;
