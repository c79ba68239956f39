package org.merlinwood.protocol;

import org.merlinwood.core.identity.Revisions;
import org.merlinwood.core.result.ResultCode;

/** An observer that ignores all events; a base class for observers of some of them. Stateless. */
public class BaseProtocolObserver implements ProtocolObserver {

    @Override
    public void onOpened(PeerConnection connection) {}

    @Override
    public void onClosed(PeerConnection connection, ResultCode code) {}

    @Override
    public void onRevisions(PeerConnection connection, Revisions revisions) {}

    @Override
    public void onRefused(ResultCode code) {}
}
