package org.rattanrudder.wire.frame;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.wire.generated.CommonMessages.HeaderMessage;
import org.rattanrudder.wire.generated.FrameMessages.AnswerChunkMessage;
import org.rattanrudder.wire.generated.FrameMessages.AnswerEndMessage;
import org.rattanrudder.wire.generated.FrameMessages.AnswerHeadMessage;
import org.rattanrudder.wire.generated.FrameMessages.AttemptMessage;
import org.rattanrudder.wire.generated.FrameMessages.CallMessage;
import org.rattanrudder.wire.generated.FrameMessages.DispatchMessage;
import org.rattanrudder.wire.generated.FrameMessages.FrameMessage;
import org.rattanrudder.wire.generated.FrameMessages.HeartbeatMessage;
import org.rattanrudder.wire.generated.FrameMessages.HelloMessage;
import org.rattanrudder.wire.generated.FrameMessages.LogRecordMessage;
import org.rattanrudder.wire.generated.FrameMessages.PromptShapeMessage;
import org.rattanrudder.wire.generated.FrameMessages.RefusalMessage;
import org.rattanrudder.wire.generated.FrameMessages.ResumeMessage;
import org.rattanrudder.wire.generated.FrameMessages.UsageMessage;
import org.rattanrudder.wire.log.LogCodec;

/** Maps protobuf messages to frames; throws {@link IllegalArgumentException} on a name or digest of another form. */
final class FrameReader {
    private FrameReader() {}

    /** Returns the frame, or empty for a kind that only a newer release knows. */
    static Optional<Frame> frame(FrameMessage message) {
        return Optional.ofNullable(
                switch (message.getKindCase()) {
                    case HELLO -> hello(message.getHello());
                    case HEARTBEAT -> heartbeat(message.getHeartbeat());
                    case DISPATCH -> dispatch(message.getDispatch());
                    case CANCEL -> new Frame.Cancel(attempt(message.getCancel().getAttempt()));
                    case RESUME -> resume(message.getResume());
                    case CREDIT ->
                        new Frame.Credit(
                                attempt(message.getCredit().getAttempt()),
                                message.getCredit().getChunks());
                    case ACCEPTED ->
                        new Frame.Accepted(attempt(message.getAccepted().getAttempt()));
                    case NOT_RUN ->
                        new Frame.NotRun(
                                attempt(message.getNotRun().getAttempt()),
                                refusal(message.getNotRun().getRefusal(), ErrorKind.OVERLOADED),
                                message.getNotRun().getWaitMicros());
                    case ANSWER_HEAD -> head(message.getAnswerHead());
                    case ANSWER_CHUNK -> chunk(message.getAnswerChunk());
                    case ANSWER_END -> end(message.getAnswerEnd());
                    case ANSWER_FAILED ->
                        new Frame.AnswerFailed(
                                attempt(message.getAnswerFailed().getAttempt()),
                                refusal(message.getAnswerFailed().getRefusal(), ErrorKind.INTERNAL));
                    case CONFIGURATION_REQUEST ->
                        new Frame.ConfigurationRequest(
                                message.getConfigurationRequest().getFromOffset());
                    case CONFIGURATION_RECORDS ->
                        records(message.getConfigurationRecords().getRecordsList());
                    case LEAVING -> new Frame.Leaving();
                    case KIND_NOT_SET -> null;
                });
    }

    private static Frame hello(HelloMessage message) {
        return new Frame.Hello(
                new InstanceName(message.getInstance()),
                message.getIncarnation(),
                message.getFailureDomain(),
                message.getRelease());
    }

    private static Frame heartbeat(HeartbeatMessage message) {
        List<Frame.TargetState> targets = message.getTargetsList().stream()
                .map(target -> new Frame.TargetState(
                        new TargetName(target.getTarget()),
                        target.getAccepting(),
                        target.getRunning(),
                        target.getQueued(),
                        target.getWaitMicros(),
                        target.getWeightVersion(),
                        target.getPrefillTokensPerSecond(),
                        target.getFetchBytesPerSecond()))
                .toList();
        List<Frame.ServiceRevision> revisions = message.getRevisionsList().stream()
                .map(revision ->
                        new Frame.ServiceRevision(new ServiceName(revision.getService()), revision.getRevision()))
                .toList();
        List<Frame.CustomerCount> customers = message.getCustomersList().stream()
                .map(count -> new Frame.CustomerCount(count.getCustomer(), count.getTaken()))
                .toList();
        return new Frame.Heartbeat(
                message.getIncarnation(), message.getSequence(), targets, revisions, message.getEntries(), customers);
    }

    private static Frame dispatch(DispatchMessage message) {
        return new Frame.Dispatch(
                attempt(message.getAttempt()),
                message.getCompanionIncarnation(),
                new TargetName(message.getTarget()),
                new ServiceName(message.getService()),
                new CustomerName(message.getCustomer()),
                message.getRequestClass(),
                message.getPriority(),
                message.getDeadlineMicros(),
                message.getWeightVersion(),
                message.hasIdempotencyKey() ? Optional.of(message.getIdempotencyKey()) : Optional.empty(),
                message.getIdempotent(),
                call(message.getCall()),
                prompt(message.getPrompt()));
    }

    private static Frame resume(ResumeMessage message) {
        return new Frame.Resume(
                attempt(message.getAttempt()), message.getCompanionIncarnation(), message.getNextChunk());
    }

    private static Frame head(AnswerHeadMessage message) {
        return new Frame.AnswerHead(
                attempt(message.getAttempt()), message.getStatus(), headers(message.getHeadersList()));
    }

    private static Frame chunk(AnswerChunkMessage message) {
        return new Frame.AnswerChunk(
                attempt(message.getAttempt()),
                message.getNumber(),
                message.getBytes().toByteArray());
    }

    private static Frame end(AnswerEndMessage message) {
        return new Frame.AnswerEnd(attempt(message.getAttempt()), message.getChunks(), usage(message.getUsage()));
    }

    private static Frame records(List<LogRecordMessage> messages) {
        return new Frame.ConfigurationRecords(messages.stream()
                .map(message -> new LogRecord(message.getOffset(), LogCodec.fromMessage(message.getBatch())))
                .toList());
    }

    private static Call call(CallMessage message) {
        return new Call(
                message.getMethod(),
                message.getPath(),
                headers(message.getHeadersList()),
                message.getBody().toByteArray());
    }

    private static PromptShape prompt(PromptShapeMessage message) {
        ByteString bytes = message.getPieces();
        if (bytes.size() % Digest.BYTES != 0) {
            throw new IllegalArgumentException("pieces aren't whole digests");
        }
        List<Digest> pieces = new ArrayList<>(bytes.size() / Digest.BYTES);
        for (int start = 0; start < bytes.size(); start += Digest.BYTES) {
            pieces.add(Digest.fromBytes(
                    bytes.substring(start, start + Digest.BYTES).toByteArray()));
        }
        return new PromptShape(message.getTokens(), pieces);
    }

    private static List<Header> headers(List<HeaderMessage> messages) {
        return messages.stream()
                .map(message -> new Header(message.getName(), message.getValue()))
                .toList();
    }

    private static AttemptId attempt(AttemptMessage message) {
        return new AttemptId(message.getEntryIncarnation(), message.getSequence(), message.getAttempt());
    }

    private static Refusal refusal(RefusalMessage message, ErrorKind whenUnknown) {
        // A newer release may name a kind that this one lacks; the stand-in keeps the frame's run state true: a
        // NotRun stays a refusal that says not run, a failure stays unknown.
        ErrorKind kind = whenUnknown;
        for (ErrorKind known : ErrorKind.values()) {
            if (known.wireName().equals(message.getKind())) {
                kind = known;
            }
        }
        return new Refusal(kind, message.getRetryAfterMillis(), message.getDetail());
    }

    private static Usage usage(UsageMessage message) {
        return new Usage(
                message.getPromptTokens(),
                message.getCachedTokens(),
                message.getFetchedTokens(),
                message.getFetchedBytes(),
                message.getCompletionTokens(),
                message.getQueuedMicros());
    }
}
