/**
 * Small stand-ins for model engines, plain services, cache stores and the platform. They hold no policy: each does what
 * {@code docs/PROTOCOLS.md} says and can be told to fail.
 */
package org.rattanrudder.standins;
