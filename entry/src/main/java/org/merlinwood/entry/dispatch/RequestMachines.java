package org.merlinwood.entry.dispatch;

import org.merlinwood.entry.machine.ModelMachine;
import org.merlinwood.entry.machine.Placement;
import org.merlinwood.entry.machine.PlainMachine;
import org.merlinwood.entry.machine.RequestMachine;
import org.merlinwood.entry.request.ClassifiedRequest;
import org.merlinwood.entry.request.KeyUse;

/** Creates the state machine that matches the type of a request. Stateless. */
final class RequestMachines {

    private RequestMachines() {}

    static RequestMachine create(ClassifiedRequest request, Placement placement) {
        return switch (request) {
            case ClassifiedRequest.ModelRequest model -> new ModelMachine(placement);
            case ClassifiedRequest.PlainRequest plain -> new PlainMachine(placement, binding(plain.key()));
            case ClassifiedRequest.MintRequest mint ->
                throw new IllegalArgumentException("a mint request has no state machine");
        };
    }

    private static PlainMachine.Binding binding(KeyUse key) {
        return switch (key) {
            case KeyUse.NotNeeded none -> PlainMachine.Binding.ANY_REPEATED;
            case KeyUse.MintedForRequest minted -> PlainMachine.Binding.ANY_ONCE;
            case KeyUse.Own own -> PlainMachine.Binding.KEY_HOME;
            case KeyUse.Minted minted -> PlainMachine.Binding.MINTED_INSTANCE;
        };
    }
}
