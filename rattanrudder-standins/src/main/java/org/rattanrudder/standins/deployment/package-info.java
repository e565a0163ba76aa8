/** Lays out a small copy of the example deployments on one machine, publishes its documents and tries its main job. */
package org.rattanrudder.standins.deployment;
