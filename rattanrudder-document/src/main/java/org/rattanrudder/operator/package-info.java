/** The JSON that entries and operators exchange, written and read by the same code at both ends. */
package org.rattanrudder.operator;
