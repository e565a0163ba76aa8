package org.rattanrudder.wire.frame;

import com.google.protobuf.UnsafeByteOperations;
import java.nio.ByteBuffer;
import java.util.List;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.wire.generated.CommonMessages.HeaderMessage;
import org.rattanrudder.wire.generated.FrameMessages.AcceptedMessage;
import org.rattanrudder.wire.generated.FrameMessages.AnswerChunkMessage;
import org.rattanrudder.wire.generated.FrameMessages.AnswerEndMessage;
import org.rattanrudder.wire.generated.FrameMessages.AnswerFailedMessage;
import org.rattanrudder.wire.generated.FrameMessages.AnswerHeadMessage;
import org.rattanrudder.wire.generated.FrameMessages.AttemptMessage;
import org.rattanrudder.wire.generated.FrameMessages.CallMessage;
import org.rattanrudder.wire.generated.FrameMessages.CancelMessage;
import org.rattanrudder.wire.generated.FrameMessages.ConfigurationRecordsMessage;
import org.rattanrudder.wire.generated.FrameMessages.ConfigurationRequestMessage;
import org.rattanrudder.wire.generated.FrameMessages.CreditMessage;
import org.rattanrudder.wire.generated.FrameMessages.CustomerCountMessage;
import org.rattanrudder.wire.generated.FrameMessages.DispatchMessage;
import org.rattanrudder.wire.generated.FrameMessages.FrameMessage;
import org.rattanrudder.wire.generated.FrameMessages.HeartbeatMessage;
import org.rattanrudder.wire.generated.FrameMessages.HelloMessage;
import org.rattanrudder.wire.generated.FrameMessages.LeavingMessage;
import org.rattanrudder.wire.generated.FrameMessages.LogRecordMessage;
import org.rattanrudder.wire.generated.FrameMessages.NotRunMessage;
import org.rattanrudder.wire.generated.FrameMessages.PromptShapeMessage;
import org.rattanrudder.wire.generated.FrameMessages.RefusalMessage;
import org.rattanrudder.wire.generated.FrameMessages.ResumeMessage;
import org.rattanrudder.wire.generated.FrameMessages.ServiceRevisionMessage;
import org.rattanrudder.wire.generated.FrameMessages.TargetStateMessage;
import org.rattanrudder.wire.generated.FrameMessages.UsageMessage;
import org.rattanrudder.wire.log.LogCodec;

/** Maps frames to their protobuf messages. */
final class FrameWriter {
    private FrameWriter() {}

    static FrameMessage message(Frame frame) {
        FrameMessage.Builder message = FrameMessage.newBuilder();
        if (frame instanceof Frame.AttemptFrame ofAttempt) {
            writeOfAttempt(message, ofAttempt);
        } else if (frame instanceof Frame.Hello hello) {
            message.setHello(HelloMessage.newBuilder()
                    .setInstance(hello.instance().value())
                    .setIncarnation(hello.incarnation())
                    .setFailureDomain(hello.failureDomain())
                    .setRelease(hello.release()));
        } else if (frame instanceof Frame.Heartbeat heartbeat) {
            message.setHeartbeat(heartbeat(heartbeat));
        } else if (frame instanceof Frame.ConfigurationRequest request) {
            message.setConfigurationRequest(
                    ConfigurationRequestMessage.newBuilder().setFromOffset(request.fromOffset()));
        } else if (frame instanceof Frame.ConfigurationRecords records) {
            message.setConfigurationRecords(records(records.records()));
        } else if (frame instanceof Frame.Leaving) {
            message.setLeaving(LeavingMessage.getDefaultInstance());
        } else {
            throw unmapped(frame);
        }
        return message.build();
    }

    private static void writeOfAttempt(FrameMessage.Builder message, Frame.AttemptFrame frame) {
        AttemptMessage attempt = attempt(frame.attempt());
        if (frame instanceof Frame.AnswerChunk chunk) {
            message.setAnswerChunk(AnswerChunkMessage.newBuilder()
                    .setAttempt(attempt)
                    .setNumber(chunk.number())
                    .setBytes(UnsafeByteOperations.unsafeWrap(chunk.bytes())));
        } else if (frame instanceof Frame.Dispatch dispatch) {
            message.setDispatch(dispatch(attempt, dispatch));
        } else if (frame instanceof Frame.Cancel) {
            message.setCancel(CancelMessage.newBuilder().setAttempt(attempt));
        } else if (frame instanceof Frame.Resume resume) {
            message.setResume(ResumeMessage.newBuilder()
                    .setAttempt(attempt)
                    .setCompanionIncarnation(resume.companionIncarnation())
                    .setNextChunk(resume.nextChunk()));
        } else if (frame instanceof Frame.Credit credit) {
            message.setCredit(CreditMessage.newBuilder().setAttempt(attempt).setChunks(credit.chunks()));
        } else if (frame instanceof Frame.Accepted) {
            message.setAccepted(AcceptedMessage.newBuilder().setAttempt(attempt));
        } else {
            writeAnswer(message, attempt, frame);
        }
    }

    private static void writeAnswer(FrameMessage.Builder message, AttemptMessage attempt, Frame.AttemptFrame frame) {
        if (frame instanceof Frame.NotRun notRun) {
            message.setNotRun(NotRunMessage.newBuilder()
                    .setAttempt(attempt)
                    .setRefusal(refusal(notRun.refusal()))
                    .setWaitMicros(notRun.waitMicros()));
        } else if (frame instanceof Frame.AnswerHead head) {
            message.setAnswerHead(AnswerHeadMessage.newBuilder()
                    .setAttempt(attempt)
                    .setStatus(head.status())
                    .addAllHeaders(headers(head.headers())));
        } else if (frame instanceof Frame.AnswerEnd end) {
            message.setAnswerEnd(AnswerEndMessage.newBuilder()
                    .setAttempt(attempt)
                    .setChunks(end.chunks())
                    .setUsage(usage(end.usage())));
        } else if (frame instanceof Frame.AnswerFailed failed) {
            message.setAnswerFailed(
                    AnswerFailedMessage.newBuilder().setAttempt(attempt).setRefusal(refusal(failed.refusal())));
        } else {
            throw unmapped(frame);
        }
    }

    private static IllegalArgumentException unmapped(Frame frame) {
        return new IllegalArgumentException("no message for " + frame.getClass().getSimpleName());
    }

    private static HeartbeatMessage heartbeat(Frame.Heartbeat heartbeat) {
        HeartbeatMessage.Builder message = HeartbeatMessage.newBuilder()
                .setIncarnation(heartbeat.incarnation())
                .setSequence(heartbeat.sequence())
                .setEntries(heartbeat.entries());
        for (Frame.TargetState target : heartbeat.targets()) {
            message.addTargets(TargetStateMessage.newBuilder()
                    .setTarget(target.target().value())
                    .setAccepting(target.accepting())
                    .setRunning(target.running())
                    .setQueued(target.queued())
                    .setWaitMicros(target.waitMicros())
                    .setWeightVersion(target.weightVersion())
                    .setPrefillTokensPerSecond(target.prefillTokensPerSecond())
                    .setFetchBytesPerSecond(target.fetchBytesPerSecond()));
        }
        for (Frame.ServiceRevision revision : heartbeat.revisions()) {
            message.addRevisions(ServiceRevisionMessage.newBuilder()
                    .setService(revision.service().value())
                    .setRevision(revision.revision()));
        }
        for (Frame.CustomerCount count : heartbeat.customers()) {
            message.addCustomers(CustomerCountMessage.newBuilder()
                    .setCustomer(count.customer())
                    .setTaken(count.taken()));
        }
        return message.build();
    }

    private static DispatchMessage dispatch(AttemptMessage attempt, Frame.Dispatch dispatch) {
        DispatchMessage.Builder message = DispatchMessage.newBuilder()
                .setAttempt(attempt)
                .setCompanionIncarnation(dispatch.companionIncarnation())
                .setTarget(dispatch.target().value())
                .setService(dispatch.service().value())
                .setCustomer(dispatch.customer().value())
                .setRequestClass(dispatch.requestClass())
                .setPriority(dispatch.priority())
                .setDeadlineMicros(dispatch.deadlineMicros())
                .setWeightVersion(dispatch.weightVersion())
                .setIdempotent(dispatch.idempotent())
                .setCall(call(dispatch.call()))
                .setPrompt(prompt(dispatch.prompt()));
        dispatch.idempotencyKey().ifPresent(message::setIdempotencyKey);
        return message.build();
    }

    private static CallMessage call(Call call) {
        return CallMessage.newBuilder()
                .setMethod(call.method())
                .setPath(call.path())
                .addAllHeaders(headers(call.headers()))
                .setBody(UnsafeByteOperations.unsafeWrap(call.body()))
                .build();
    }

    private static PromptShapeMessage prompt(PromptShape prompt) {
        ByteBuffer pieces = ByteBuffer.allocate(prompt.pieces().size() * Digest.BYTES);
        prompt.pieces().forEach(piece -> pieces.put(piece.toBytes()));
        return PromptShapeMessage.newBuilder()
                .setTokens(prompt.tokens())
                .setPieces(UnsafeByteOperations.unsafeWrap(pieces.array()))
                .build();
    }

    private static List<HeaderMessage> headers(List<Header> headers) {
        return headers.stream()
                .map(header -> HeaderMessage.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .toList();
    }

    private static AttemptMessage attempt(AttemptId attempt) {
        return AttemptMessage.newBuilder()
                .setEntryIncarnation(attempt.entryIncarnation())
                .setSequence(attempt.sequence())
                .setAttempt(attempt.attempt())
                .build();
    }

    private static RefusalMessage refusal(Refusal refusal) {
        return RefusalMessage.newBuilder()
                .setKind(refusal.kind().wireName())
                .setRetryAfterMillis(refusal.retryAfterMillis())
                .setDetail(refusal.detail())
                .build();
    }

    private static UsageMessage usage(Usage usage) {
        return UsageMessage.newBuilder()
                .setPromptTokens(usage.promptTokens())
                .setCachedTokens(usage.cachedTokens())
                .setFetchedTokens(usage.fetchedTokens())
                .setFetchedBytes(usage.fetchedBytes())
                .setCompletionTokens(usage.completionTokens())
                .setQueuedMicros(usage.queuedMicros())
                .build();
    }

    private static ConfigurationRecordsMessage records(List<LogRecord> records) {
        ConfigurationRecordsMessage.Builder message = ConfigurationRecordsMessage.newBuilder();
        for (LogRecord logRecord : records) {
            message.addRecords(LogRecordMessage.newBuilder()
                    .setOffset(logRecord.offset())
                    .setBatch(LogCodec.toMessage(logRecord.batch())));
        }
        return message.build();
    }
}
