/**
 * Assembly of one balancer and of the process around it.
 *
 * <p>{@link frostrelay.node.NodeProcess} owns the process: configuration file, signals, event loop,
 * exit code. {@link frostrelay.node.Main} starts it as the platform does. A {@code Node} connects
 * the client listener, the request dispatcher, the cluster membership and the admin server; {@code
 * SharedStateSync} synchronizes it with the balancer's other processes, {@code DescriptorLimits}
 * divides the file descriptors among them, and {@code ShutdownSequence} ends it gracefully.
 *
 * <p>Everything of a node runs on one event loop, which never blocks. Files are read on separate
 * threads, which pass the results to the loop.
 */
package frostrelay.node;
