package org.rattanrudder.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class StreamBindingTest {
    private static final Optional<StreamOrigin> UNKNOWN = Optional.empty();

    private static Optional<StreamOrigin> software(int number) {
        return number == 0 ? UNKNOWN : Optional.of(new StreamOrigin("llm", "v" + number));
    }

    @Test
    void beforeItsFirstEventAStreamIsBoundToNothing() {
        StreamBinding binding = new StreamBinding();

        assertThat(binding.isContinuable()).isTrue();
        assertThat(binding.admits(software(1))).isTrue();
        assertThat(binding.admits(UNKNOWN)).isTrue();
    }

    @Test
    void theSameVersionOfAnotherServiceIsOtherSoftware() {
        StreamBinding binding = new StreamBinding();
        binding.onBegun(software(1));

        assertThat(binding.admits(Optional.of(new StreamOrigin("other", "v1")))).isFalse();
    }

    /** Guards against events of two versions in one stream, and against a guess where a target names none. */
    @Property
    void whateverServesNextIsOfTheSoftwareThatServedFirst(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(max = 3) Integer> offered) {
        StreamBinding binding = new StreamBinding();
        int first = offered.get(0);
        for (int number : offered) {
            if (binding.admits(software(number))) {
                assertThat(number).isEqualTo(first);
                binding.onBegun(software(number));
            }
            assertThat(binding.isContinuable()).isEqualTo(first != 0);
        }
    }
}
