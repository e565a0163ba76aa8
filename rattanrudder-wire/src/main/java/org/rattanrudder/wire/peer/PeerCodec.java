package org.rattanrudder.wire.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.fleet.RelayLoad;
import org.rattanrudder.core.fleet.RelayLoad.KnownWeights;
import org.rattanrudder.core.fleet.RelayLoad.ServedWeights;
import org.rattanrudder.core.fleet.RelayLoad.TargetLoad;
import org.rattanrudder.wire.generated.PeerMessages.KnownWeightsMessage;
import org.rattanrudder.wire.generated.PeerMessages.RelayLoadMessage;
import org.rattanrudder.wire.generated.PeerMessages.ServedWeightsMessage;
import org.rattanrudder.wire.generated.PeerMessages.TargetLoadMessage;

/** Writes and reads what relays tell each other. */
public final class PeerCodec {
    private PeerCodec() {}

    /** Returns the message as bytes. */
    public static byte[] write(RelayLoad load) {
        RelayLoadMessage.Builder message =
                RelayLoadMessage.newBuilder().setRelay(load.relay()).setSequence(load.sequence());
        for (TargetLoad target : load.targets()) {
            message.addTargets(TargetLoadMessage.newBuilder()
                    .setTarget(target.target())
                    .setRequests(target.requests())
                    .setTokens(target.tokens())
                    .setUnreadTokens(target.unread()));
        }
        for (KnownWeights known : load.weights()) {
            message.addWeights(KnownWeightsMessage.newBuilder()
                    .setModel(known.model())
                    .setVersion(known.version())
                    .setAgeMillis(known.ageMillis()));
        }
        for (ServedWeights served : load.served()) {
            message.addServed(ServedWeightsMessage.newBuilder()
                    .setTarget(served.target())
                    .setModel(served.model())
                    .setVersion(served.version()));
        }
        return message.build().toByteArray();
    }

    /** Reads a message; empty if the bytes are none. */
    public static Optional<RelayLoad> read(byte[] bytes) {
        try {
            RelayLoadMessage message = RelayLoadMessage.parseFrom(bytes);
            List<TargetLoad> targets = message.getTargetsList().stream()
                    .map(each -> new TargetLoad(
                            each.getTarget(), each.getRequests(), each.getTokens(), each.getUnreadTokens()))
                    .toList();
            List<KnownWeights> weights = message.getWeightsList().stream()
                    .map(each -> new KnownWeights(each.getModel(), each.getVersion(), each.getAgeMillis()))
                    .toList();
            List<ServedWeights> served = message.getServedList().stream()
                    .map(each -> new ServedWeights(each.getTarget(), each.getModel(), each.getVersion()))
                    .toList();
            return message.getRelay().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new RelayLoad(message.getRelay(), message.getSequence(), targets, weights, served));
        } catch (InvalidProtocolBufferException malformed) {
            return Optional.empty();
        }
    }
}
