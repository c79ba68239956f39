package org.merlinwood.entry.dispatch;

import org.merlinwood.entry.machine.ModelStateMachine;
import org.merlinwood.entry.machine.Placement;
import org.merlinwood.entry.machine.PlainStateMachine;
import org.merlinwood.entry.machine.RequestStateMachine;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.KeyUse;

/** Creates the state machine that matches the type of a request. Stateless. */
final class RequestStateMachines {

    private RequestStateMachines() {}

    static RequestStateMachine create(ClassifiedRequest request, Placement placement) {
        return switch (request) {
            case ClassifiedRequest.ModelRequest model -> new ModelStateMachine(placement);
            case ClassifiedRequest.PlainRequest plain -> new PlainStateMachine(placement, binding(plain.key()));
            case ClassifiedRequest.MintRequest mint ->
                throw new IllegalArgumentException("a mint request has no state machine");
        };
    }

    private static PlainStateMachine.Binding binding(KeyUse key) {
        return switch (key) {
            case KeyUse.NotNeeded none -> PlainStateMachine.Binding.ANY_REPEATED;
            case KeyUse.MintedForRequest minted -> PlainStateMachine.Binding.ANY_ONCE;
            case KeyUse.Own own -> PlainStateMachine.Binding.KEY_HOME;
            case KeyUse.Minted minted -> PlainStateMachine.Binding.MINTED_INSTANCE;
        };
    }
}
