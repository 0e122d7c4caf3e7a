/** A stand-in for the origin behind the caches, and the caches' client of it. */
package frostrelay.testbed.origin;
