/** Admission control of a target: priorities, deadlines, fair shares between customers, and early refusal. */
package org.rattanrudder.core.admission;
