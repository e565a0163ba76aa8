package org.rattanrudder.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.Digest;

class PromptShapeTest {
    @Property(seed = "11", tries = 50)
    void promptsShareBlockDigestsExactlyForTheirSharedText(
            @ForAll @IntRange(max = 6) int shared, @ForAll @IntRange(min = 1, max = 4) int own) {
        Digest root = Digest.of("depot", "palivo-llm", "v1");
        List<Digest> left = shape(shared, own, "left").blockDigests(root);
        List<Digest> right = shape(shared, own, "right").blockDigests(root);

        assertThat(left.subList(0, shared)).isEqualTo(right.subList(0, shared));
        assertThat(left.subList(shared, left.size())).doesNotContainAnyElementsOf(right);
    }

    /**
     * Failure: a customer gets cached context of another. Both send the same text, and block digests without the
     * customer would let the engine's cache hit across them.
     */
    @Test
    void theSameTextOfTwoCustomersSharesNoBlockDigest() {
        PromptShape shape = shape(3, 0, "");

        assertThat(shape.blockDigests(Digest.of("sever", "palivo-llm", "v1")))
                .doesNotContainAnyElementsOf(shape.blockDigests(Digest.of("juh", "palivo-llm", "v1")));
    }

    private static PromptShape shape(int shared, int own, String owner) {
        List<Digest> pieces = new ArrayList<>();
        for (int piece = 0; piece < shared; piece++) {
            pieces.add(Digest.of("shared", Integer.toString(piece)));
        }
        for (int piece = 0; piece < own; piece++) {
            pieces.add(Digest.of(owner, Integer.toString(piece)));
        }
        return new PromptShape((shared + own) * 2000, pieces);
    }
}
