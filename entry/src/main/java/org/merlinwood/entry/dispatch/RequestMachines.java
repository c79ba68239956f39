package org.merlinwood.entry.dispatch;

import org.merlinwood.entry.machine.ModelMachine;
import org.merlinwood.entry.machine.Placement;
import org.merlinwood.entry.machine.PlainMachine;
import org.merlinwood.entry.machine.RequestMachine;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.KeyUse;

/** Chooses the state machine of a request. Stateless. */
final class RequestMachines {

    private RequestMachines() {}

    static RequestMachine create(ClassifiedRequest request, Placement placement) {
        return switch (request) {
            case ClassifiedRequest.ModelRequest call -> new ModelMachine(placement);
            case ClassifiedRequest.PlainRequest call -> new PlainMachine(placement, binding(call.key()));
            case ClassifiedRequest.MintRequest call -> throw new IllegalArgumentException("keys are minted at once");
        };
    }

    private static PlainMachine.Binding binding(KeyUse key) {
        return switch (key) {
            case KeyUse.NotNeeded none -> PlainMachine.Binding.ANY_REPEATED;
            case KeyUse.MintedForCall minted -> PlainMachine.Binding.ANY_ONCE;
            case KeyUse.Own own -> PlainMachine.Binding.KEY_HOME;
            case KeyUse.Minted minted -> PlainMachine.Binding.MINTED_INSTANCE;
        };
    }
}
