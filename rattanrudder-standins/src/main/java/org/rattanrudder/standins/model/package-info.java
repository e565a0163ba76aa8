/**
 * Plays a day of relays and engines in virtual time, with the relays' own decisions, thousands of requests a second of
 * real time.
 *
 * <p>{@link org.rattanrudder.standins.model.ModelExperiment} is the front class: it compares ways of deciding on one
 * day and several seeds.
 */
package org.rattanrudder.standins.model;
