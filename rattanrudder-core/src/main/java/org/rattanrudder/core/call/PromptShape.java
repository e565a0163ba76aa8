package org.rattanrudder.core.call;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.model.Digest;

/**
 * The length and content digests of a prompt, which routing and caching use instead of its text.
 *
 * @param tokens the prompt's length in tokens
 * @param pieces the digests of the prompt's complete pieces of text, in order; independent of the customer
 */
public record PromptShape(int tokens, List<Digest> pieces) {
    /** The shape of a call that is not a prompt. */
    public static final PromptShape NONE = new PromptShape(0, List.of());

    /** Copies the list. */
    public PromptShape {
        pieces = List.copyOf(pieces);
    }

    /**
     * Returns the digests that identify the prompt's blocks below a root. Each covers its piece and all pieces before
     * it, so two prompts share a digest exactly if their text is the same up to the end of that block.
     */
    public List<Digest> blockDigests(Digest root) {
        List<Digest> names = new ArrayList<>(pieces.size());
        Digest parent = root;
        for (Digest piece : pieces) {
            parent = parent.chain(piece);
            names.add(parent);
        }
        return names;
    }
}
