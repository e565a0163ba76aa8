package org.rattanrudder.standins.deployment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanrudder.core.document.ModelSettings;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.document.ProcessSettings.PlatformAddresses;

/** Writes the plan of stand-ins that a layout needs, for {@code bin/standins --plan}. */
public final class StandInPlan {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final StandInSizes sizes;
    private final ObjectNode plan = new ObjectMapper().createObjectNode();
    private final ArrayNode listed = plan.putArray("standins");

    private StandInPlan(StandInSizes sizes) {
        this.sizes = sizes;
    }

    /** Returns the plan as JSON: the platform, and a stand-in for each target and store of the documents. */
    public static String of(Layout layout, StandInSizes sizes) {
        StandInPlan plan = new StandInPlan(sizes);
        PlatformAddresses platform = layout.processes().get(0).settings().platform();
        plan.addPlatform(platform, layout);
        for (Layout.Document document : layout.documents()) {
            plan.addTargets(document.content(), platform);
            document.content().stores().forEach(plan::addStore);
        }
        return plan.plan.toPrettyString();
    }

    private void addPlatform(PlatformAddresses platform, Layout layout) {
        add("log", platform.log()).put("append_rate", sizes.appendRate());
        ArrayNode instances = add("instances", platform.instances())
                .put("lag_millis", sizes.listLagMillis())
                .putArray("instances");
        for (Layout.Document document : layout.documents()) {
            for (TargetSettings target : document.content().targets()) {
                instances
                        .addObject()
                        .put("address", target.address().toString())
                        .put("state", "live");
            }
        }
        add("weights", platform.weights());
    }

    private void addTargets(ServiceDocument document, PlatformAddresses platform) {
        for (TargetSettings target : document.targets()) {
            if (document.kind() == ServiceKind.PROMPT) {
                addEngine(document, target, platform);
            } else {
                add("plain", target.address());
            }
        }
    }

    private void addEngine(ServiceDocument document, TargetSettings target, PlatformAddresses platform) {
        ModelSettings model = document.model().orElseThrow();
        add("engine", target.address())
                .put("block_capacity", sizes.engineBlocks())
                .put("running_limit", target.concurrency())
                .put(
                        "prefill_micros_per_token",
                        MICROS_PER_SECOND / document.cache().prefillTokensPerSecond())
                .put("decode_micros_per_token", sizes.decodeMicrosPerToken())
                .put("piece_tokens", document.cache().pieceTokens())
                .put("bytes_per_token", document.cache().bytesPerToken())
                .put("checks_fencing", target.checksFencing())
                .put("model", model.name())
                .put("version", model.version())
                .put("weight_store", platform.weights().toString());
    }

    private void addStore(StoreSettings store) {
        add("store", store.address()).put("capacity_bytes", sizes.storeBytes());
    }

    private ObjectNode add(String kind, Address address) {
        return listed.addObject().put("kind", kind).put("address", address.toString());
    }
}
