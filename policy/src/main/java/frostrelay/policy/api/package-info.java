/**
 * The interface of the decision module: {@link frostrelay.policy.api.PolicyEvents events} and
 * {@link frostrelay.policy.api.PolicySettings settings} as input, {@link
 * frostrelay.policy.api.PolicyActions actions} as output, and their parameter types.
 *
 * <p>All values are immutable. The module may keep the lists, sets and arrays that it receives;
 * callers must not modify them afterwards. Times are nanoseconds of the caller's monotonic clock;
 * durations are nanoseconds. Events of one module are delivered on one thread, and its actions are
 * called on that thread from within an event.
 *
 * <p>The package depends on nothing but the JDK. {@code frostrelay.policy} implements it; the node,
 * the simulator adapter and embedding programs call it.
 */
package frostrelay.policy.api;
